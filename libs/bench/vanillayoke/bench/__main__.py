"""Run a bench with ``python -m vanillayoke.bench NAME [FLAGS]``."""

import sys

from vanillayoke.bench import policy

_USAGE = 'usage: python -m vanillayoke.bench policy [FLAGS]'


def main(arguments: list[str]) -> int:
    """Run the named bench; return the exit status."""
    match arguments[1:2]:
        case ['policy']:
            return policy.main(arguments[1:])
    print(_USAGE, file=sys.stderr)
    return 2


if __name__ == '__main__':
    sys.exit(main(sys.argv))
