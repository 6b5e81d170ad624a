"""The table of error kinds in the reference page of the HTTP interface.

``python -m vanillayoke.entry.reference PAGE`` writes it anew.
"""

import pathlib
import sys

from vanillayoke.core import failures

BEGIN = '<!-- errors: written by vanillayoke.entry.reference -->\n'
END = '<!-- errors: end -->\n'

_HEAD = '| kind | status | ran | may retry | text |\n|---|---|---|---|---|\n'


def format_errors() -> str:
    """Return the table of all error kinds in Markdown."""
    rows = [
        f'| `{kind.value}` | {answer.status} | {answer.ran.value} '
        f'| {"yes" if answer.may_retry else "no"} | {answer.text} |\n'
        for kind, answer in failures.ANSWERS.items()
    ]
    return _HEAD + ''.join(rows)


def replace_errors(page: str) -> str:
    """Return a page with its table of error kinds written anew.

    Raise ``ValueError`` where the page has no place for it.
    """
    before, begin, rest = page.partition(BEGIN)
    _, end, after = rest.partition(END)
    if not end:
        raise ValueError('the page lacks the marks of the table')
    return f'{before}{begin}\n{format_errors()}\n{end}{after}'


def main() -> int:
    """Write the table of the page named on the command line anew."""
    page = pathlib.Path(sys.argv[1])
    page.write_text(replace_errors(page.read_text()))
    return 0


if __name__ == '__main__':
    sys.exit(main())
