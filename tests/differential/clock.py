"""An event loop on virtual time, on which single nodes can be stopped."""

import asyncio
import contextvars
import selectors
from asyncio import events

NODE = contextvars.ContextVar('node', default=None)


class Suspension:
    """Whether a node is stopped, and what became ready meanwhile."""

    def __init__(self):
        self.stopped = False
        self.parked = []


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock in place of waiting."""

    clock = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError('nothing is left to wait for')
            self.clock.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs at once what real time would bring, in the same order.

    Callbacks that belong to a stopped node wait until it goes on, as those of
    a process after SIGSTOP do.
    """

    def __init__(self):
        self.now = 0.0
        selector = _JumpingSelector()
        selector.clock = self
        super().__init__(selector)

    def time(self):
        return self.now

    def call_soon(self, callback, *args, context=None):
        node = _node_of(context)
        if node is not None and node.stopped:
            handle = events.Handle(callback, args, self, context)
            node.parked.append(handle)
            return handle
        return super().call_soon(callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        node = _node_of(context)
        if node is None:
            return super().call_at(when, callback, *args, context=context)
        timer = None

        def fire():
            if timer.cancelled():
                return
            if node.stopped:
                node.parked.append(events.Handle(fire, (), self, context))
            else:
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer

    def stop_node(self, node):
        node.stopped = True

    def resume_node(self, node):
        node.stopped = False
        parked, node.parked = node.parked, []
        self._ready.extend(parked)


def _node_of(context):
    return NODE.get() if context is None else context.get(NODE)


def node_context(node):
    """Return a context whose tasks stop together with a node."""
    context = contextvars.Context()
    context.run(NODE.set, node)
    return context


def run_virtually(coroutine):
    """Run a coroutine on a loop of its own, then end everything it left."""
    loop = VirtualLoop()
    loop.set_exception_handler(lambda _loop, _context: None)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
