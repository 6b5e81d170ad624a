"""Run the command line with ``python -m vanillayoke.cli``."""

import sys

from vanillayoke.cli import early_signals

# The commands that serve until they are stopped.
_SERVERS = frozenset(('gateway', 'serve'))

if __name__ == '__main__':
    if _SERVERS.intersection(sys.argv[1:2]):
        early_signals.install()
    # Takes long to import.
    from vanillayoke.cli import main

    sys.exit(main.main())
