"""The public entry point of a node. Imports only what a node needs."""

import signal


def run_node(log_format: str = "json", log_level: str = "info") -> int:
    """Run a delivery node in the foreground; RELAY_CONFIG names its configuration file."""
    # Until the configuration is loaded, a SIGHUP (reload) has nothing to do; by default it ends the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from irisstack.node.service import main as run  # imported after the signal is ignored: the import is slow

    return run(log_format, log_level)
