"""Signals that reach a server's process before it can handle them.

Importing the server takes a second on a busy machine. Until it has installed
its own handlers, the default ones would end the process as if it had crashed.
"""

import os
import signal


def install() -> None:
    """Ignore SIGHUP, and exit with status 0 on SIGTERM.

    The settings are read later, so that a change of them is not missed.
    Nothing has been accepted that a stop would have to finish. An exception
    amid the import of an extension module would crash the interpreter, or be
    ignored, so the process ends without one.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, lambda number, frame: os._exit(0))
