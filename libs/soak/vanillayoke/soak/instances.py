"""Runs an instance with an adjustable wall clock that can be isolated.

The offset of the wall clock, in seconds, is read from a file. While a file
with the same name and ``ISOLATED_SUFFIX`` exists, datagrams to and from other
instances are lost.
"""

import pathlib
import sys
import time

from vanillayoke.cli import early_signals

ISOLATED_SUFFIX = '.isolated'


def shift_clock(path: pathlib.Path) -> None:
    """Shift the wall clock by the number of seconds in a file."""
    read_true = time.time

    def read_shifted() -> float:
        try:
            return read_true() + float(path.read_text() or 0)
        except (OSError, ValueError):
            return read_true()

    time.time = read_shifted
    # This default was bound when the module was loaded.
    from vanillayoke.core import timers

    timers.LoopTimers.__init__.__defaults__ = (read_shifted,)


def drop_datagrams(path: pathlib.Path) -> None:
    """Lose all datagrams while a file exists."""
    from vanillayoke.transport import datagrams

    send = datagrams.DatagramSocket.send
    receive = datagrams.DatagramSocket.datagram_received

    def send_unless_isolated(self, address: str, data: bytes) -> None:
        if not path.exists():
            send(self, address, data)

    def receive_unless_isolated(self, data: bytes, sender: tuple) -> None:
        if not path.exists():
            receive(self, data, sender)

    datagrams.DatagramSocket.send = send_unless_isolated
    datagrams.DatagramSocket.datagram_received = receive_unless_isolated


def run(arguments: list[str]) -> int:
    """Run the instance; the first argument is the clock offset file."""
    early_signals.install()
    from vanillayoke.adapter import process

    path = pathlib.Path(arguments[0])
    shift_clock(path)
    drop_datagrams(path.with_suffix(ISOLATED_SUFFIX))
    return process.run()


if __name__ == '__main__':
    sys.exit(run(sys.argv[1:]))
