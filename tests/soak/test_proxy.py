"""The loopback proxy: what passes under each fault."""

import asyncio
from contextlib import AsyncExitStack

import pytest
from endivetally.soak.proxy import Proxy
from endivetally_core.joining import Address

HOST = '127.0.0.1'
# Long enough for a piece to pass on a busy machine; only what must not pass
# takes as long.
QUIET_S = 0.2


async def echo(reader, writer):
    while piece := await reader.read(100):
        writer.write(piece)
    writer.close()


@pytest.fixture
async def opened():
    """A proxy before an echo server, and a way to connect through it."""
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


async def heard(reader):
    try:
        return await asyncio.wait_for(reader.read(100), QUIET_S)
    except TimeoutError:
        return None
    except ConnectionError:
        return b''


async def test_what_is_sent_passes(opened):
    _, connect = opened
    reader, writer = await connect()
    writer.write(b'hello')
    assert await reader.read(100) == b'hello'


@pytest.mark.parametrize('direction', ['forward', 'back'])
async def test_a_cut_holds_back_until_it_is_mended(opened, direction):
    proxy, connect = opened
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    getattr(proxy, direction).cut()
    writer.write(b'second')
    assert await heard(reader) is None
    proxy.mend()
    assert await reader.read(100) == b'second'


async def test_silence_lasts_for_open_connections_only(opened):
    proxy, connect = opened
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    proxy.silence()
    writer.write(b'second')
    assert await heard(reader) is None
    assert len(proxy.swallowed_at) == 1
    other_reader, other_writer = await connect()
    other_writer.write(b'new')
    assert await other_reader.read(100) == b'new'


async def test_a_reset_ends_open_connections(opened):
    proxy, connect = opened
    reader, writer = await connect()
    writer.write(b'first')
    await reader.read(100)
    proxy.reset()
    with pytest.raises(ConnectionError):
        await reader.readexactly(1)


async def test_refused_connections_are_closed(opened):
    proxy, connect = opened
    proxy.refusing = True
    reader, _ = await connect()
    assert await reader.read(100) == b''
