"""What the loopback proxy forwards under each fault."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from endivetally.soak.proxy import Proxy
from endivetally_core.joining import Address

HOST = '127.0.0.1'
# Long enough for data to be forwarded on a busy machine. Only a test that expects
# no data waits this long.
READ_TIMEOUT_S = 0.2


async def echo(reader, writer):
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.fixture
async def echo_proxy():
    """A proxy in front of an echo server, and a function that connects through it."""
    async with AsyncExitStack() as stack:
        server = await asyncio.start_server(echo, HOST, 0)
        stack.callback(server.close)
        target = Address(HOST, server.sockets[0].getsockname()[1])
        free = await asyncio.start_server(echo, HOST, 0)
        port = free.sockets[0].getsockname()[1]
        free.close()
        await free.wait_closed()
        proxy = await stack.enter_async_context(Proxy(Address(HOST, port), target))

        async def connect():
            reader, writer = await asyncio.open_connection(HOST, port)
            stack.callback(writer.close)
            return reader, writer

        yield proxy, connect


async def read_until_timeout(reader):
    """Return what is read: ``None`` after the timeout, empty after a reset."""
    try:
        return await asyncio.wait_for(reader.read(100), READ_TIMEOUT_S)
    except TimeoutError:
        return None
    except ConnectionError:
        return b''


async def test_data_is_forwarded_in_both_directions(echo_proxy):
    _, connect = echo_proxy
    reader, writer = await connect()
    writer.write(b'hello')
    assert await reader.read(100) == b'hello'


@pytest.mark.parametrize('direction', ['forward', 'backward'])
async def test_a_blocked_direction_holds_data_back_until_it_is_restored(
    echo_proxy, direction
):
    proxy, connect = echo_proxy
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    getattr(proxy, direction).block()
    writer.write(b'second')
    assert await read_until_timeout(reader) is None
    proxy.restore()
    assert await reader.read(100) == b'second'


async def test_only_connections_that_are_open_are_blackholed(echo_proxy):
    proxy, connect = echo_proxy
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    proxy.blackhole_connections()
    writer.write(b'second')
    assert await read_until_timeout(reader) is None
    assert len(proxy.discard_times) == 1
    other_reader, other_writer = await connect()
    other_writer.write(b'new')
    assert await other_reader.read(100) == b'new'


async def test_a_reset_closes_open_connections(echo_proxy):
    proxy, connect = echo_proxy
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    proxy.reset_connections()
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)


async def test_refused_connections_are_closed(echo_proxy):
    proxy, connect = echo_proxy
    proxy.refuses_connections = True
    reader, _ = await connect()
    assert await reader.read(100) == b''
