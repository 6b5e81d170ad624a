"""Faults in settings files: their places, rules, texts and hints."""

import json
import re
import typing

Path = tuple[str | int, ...]

_PLAIN_NAME = re.compile(r'[A-Za-z0-9_$-]+')


class Place(typing.NamedTuple):
    """A position in a file; lines and columns count from 1.

    Line 0 stands for the file as a whole.
    """

    file: str
    line: int
    column: int

    def __str__(self) -> str:
        return f'{self.file}:{self.line}:{self.column}'


class Rule(typing.NamedTuple):
    """A kind of fault; ``id`` is ``settings.E...`` or ``settings.W...``.

    ``E`` faults make the settings unusable, ``W`` ones are warnings.
    """

    id: str
    summary: str
    hint: str


class Fault(typing.NamedTuple):
    """One fault at one place.

    ``path`` leads from the top of the settings to the value. It is empty if
    the fault concerns a whole file or folder.
    """

    rule: Rule
    place: Place
    path: Path
    text: str

    @property
    def is_warning(self) -> bool:
        """Tell whether the settings are usable despite the fault."""
        return self.rule.id.startswith('settings.W')

    def describe(self) -> str:
        """Return the fault as one line of text."""
        where = f' at {format_path(self.path)}' if self.path else ''
        return (
            f'{self.place}: {self.rule.id}{where}: {self.text} '
            f'Hint: {self.rule.hint}'
        )


def format_path(path: Path) -> str:
    """Return a path as text, such as ``agents.board.tools[0]``."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
            continue
        name = part if _PLAIN_NAME.fullmatch(part) else json.dumps(part)
        text += f'.{name}' if text else name
    return text


def has_errors(faults: typing.Iterable[Fault]) -> bool:
    """Tell whether any fault is an error."""
    return any(not fault.is_warning for fault in faults)


FILE_RULES = {
    rule.id: rule
    for rule in (
        Rule(
            'settings.E001',
            'A file or folder cannot be read.',
            'Check that it exists and that this user may read it.',
        ),
        Rule(
            'settings.E002',
            'A file is not UTF-8 text without a byte order mark.',
            'Save the file as UTF-8 without a byte order mark.',
        ),
        Rule(
            'settings.E003',
            'A file is not valid JSON with comments.',
            'Look at this place and just before it: a comma, quote or '
            'bracket is often missing there.',
        ),
        Rule(
            'settings.E004',
            'A file uses JSON5 notation beyond comments and trailing commas.',
            'Write names and texts in double quotes and numbers as in JSON.',
        ),
        Rule(
            'settings.E005',
            'A map has the same key twice.',
            'Keep one of the two; to override a value, use a later file.',
        ),
        Rule(
            'settings.E006',
            'The top of a file is not a map.',
            'Begin the file with { and end it with }.',
        ),
        Rule(
            'settings.E007',
            'A folder holds no settings file.',
            'Give the folder that holds the *.json files.',
        ),
        Rule(
            'settings.E008',
            'Something in the folder is no settings file.',
            'Let settings files end in .json or .jsonc, and move anything '
            'else out of the folder.',
        ),
        Rule(
            'settings.E009',
            'A null removes a key that does not exist.',
            'Delete the null, or correct its key; it can only remove what an '
            'earlier file sets.',
        ),
        Rule(
            'settings.E010',
            'A value has the wrong type.',
            'See docs/reference/settings.md for the type of each field.',
        ),
        Rule(
            'settings.E011',
            'There is no field of this name.',
            'Correct the name; docs/reference/settings.md lists the fields.',
        ),
        Rule(
            'settings.E012',
            'A required field is missing.',
            'Add the field here or in another file of the folder.',
        ),
        Rule(
            'settings.E013',
            'A number does not fit into 64 bits.',
            'Use a smaller number.',
        ),
        Rule(
            'settings.E014',
            'A file is too large.',
            'Split it into several files.',
        ),
    )
}
