"""Event loop on virtual time that can suspend the callbacks of single nodes."""

import asyncio
import contextvars
import selectors
from asyncio import events

NODE = contextvars.ContextVar('node', default=None)


class Suspension:
    """Whether a node is suspended, and its callbacks that became ready meanwhile."""

    def __init__(self):
        self.stopped = False
        self.deferred = []


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual clock by the timeout instead of waiting."""

    clock = None

    def select(self, timeout=None):
        ready = super().select(0)
        if not ready:
            if timeout is None:
                raise RuntimeError(
                    'deadlock: no timer is pending and no descriptor is ready'
                )
            self.clock.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, in the order in which they are due.

    Callbacks of a stopped node are deferred until it is resumed, as those of a
    process between SIGSTOP and SIGCONT are.
    """

    def __init__(self):
        self.now = 0.0
        selector = _VirtualTimeSelector()
        selector.clock = self
        super().__init__(selector)

    def time(self):
        return self.now

    def call_soon(self, callback, *args, context=None):
        node = _node_of(context)
        if node is not None and node.stopped:
            handle = events.Handle(callback, args, self, context)
            node.deferred.append(handle)
            return handle
        return super().call_soon(callback, *args, context=context)

    def call_at(self, when, callback, *args, context=None):
        node = _node_of(context)
        if node is None:
            return super().call_at(when, callback, *args, context=context)
        timer = None

        def run_or_defer():
            if timer.cancelled():
                return
            if node.stopped:
                node.deferred.append(events.Handle(run_or_defer, (), self, context))
            else:
                callback(*args)

        timer = super().call_at(when, run_or_defer, context=context)
        return timer

    def stop_node(self, node):
        node.stopped = True

    def resume_node(self, node):
        node.stopped = False
        deferred, node.deferred = node.deferred, []
        self._ready.extend(deferred)


def _node_of(context):
    return NODE.get() if context is None else context.get(NODE)


def node_context(node):
    """Return a context whose callbacks are deferred while the node is stopped.

    :param node: the `Suspension` of the node.
    """
    context = contextvars.Context()
    context.run(NODE.set, node)
    return context


def run_virtually(coroutine):
    """Run a coroutine on a new virtual loop, then cancel the tasks that remain.

    Errors that reach the exception handler of the loop are ignored.
    """
    loop = VirtualLoop()
    loop.set_exception_handler(lambda _loop, _context: None)
    with asyncio.Runner(loop_factory=lambda: loop) as runner:
        return runner.run(coroutine)
