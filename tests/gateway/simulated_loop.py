"""An event loop whose clock jumps to the next timer, for histories of minutes."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Lets the time of a loop pass instead of waiting."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing will ever happen on the simulated loop")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """Event loop on which no real time passes."""

    def __init__(self):
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self):
        return self._jumping.now_s


def run_simulated(main):
    """Run a coroutine on a simulated loop; return its result."""
    with asyncio.Runner(loop_factory=SimulatedLoop) as runner:
        return runner.run(main)
