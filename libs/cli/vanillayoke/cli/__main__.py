"""Run the command line with ``python -m vanillayoke.cli``."""

import sys

from vanillayoke.cli import main

if __name__ == '__main__':
    sys.exit(main.main())
