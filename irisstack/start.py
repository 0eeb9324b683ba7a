"""The public entry point of a node. Imports only what a node needs."""

import signal
from collections.abc import Callable
from types import FrameType


class EarlyReload:
    """Keeps a SIGHUP (reload) that comes before the node can take it; by default it would end the process.

    It must not be ignored: the configuration file that is read later is the new one, but at a start
    `RELAY_DISCOVERY` overrides its address of discovery, which only a reload takes from the file.
    """

    def __init__(self) -> None:
        self._requested = False
        self._reload: Callable[[], None] | None = None

    def on_signal(self, _number: int, _frame: FrameType | None) -> None:
        """The signal handler; it may still run after the node has installed its own."""
        self._requested = True
        if self._reload is not None:
            self._reload()

    def forward_to(self, reload: Callable[[], None]) -> None:
        """Call `reload` if a signal has come, and for each that this handler still gets."""
        self._reload = reload
        if self._requested:
            reload()


def run_node(log_format: str = "json", log_level: str = "info") -> int:
    """Run a delivery node in the foreground; RELAY_CONFIG names its configuration file."""
    early_reload = EarlyReload()
    signal.signal(signal.SIGHUP, early_reload.on_signal)
    from irisstack.node.service import main as run  # imported behind the handler: the import is slow

    return run(log_format, log_level, early_reload.forward_to)
