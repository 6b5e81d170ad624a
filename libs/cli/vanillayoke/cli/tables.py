"""Text tables for the terminal."""

import typing


def format_table(
    headers: typing.Sequence[str],
    rows: typing.Iterable[typing.Sequence[object]],
) -> str:
    """Return rows as a text table; numeric columns are right-aligned."""
    table = [tuple(row) for row in rows]
    texts = [
        tuple(headers),
        *(tuple(map(_format_value, row)) for row in table),
    ]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    numeric = [
        bool(table) and all(_is_number(row[i]) for row in table)
        for i in range(len(headers))
    ]
    return '\n'.join(_format_row(row, widths, numeric) for row in texts)


def format_records(
    columns: typing.Sequence[str],
    records: typing.Iterable[typing.Mapping[str, typing.Any]],
) -> str:
    """Return records as a table; an absent field is shown as a dash."""
    rows = [[record.get(name) for name in columns] for record in records]
    headers = [name.replace('_', ' ').upper() for name in columns]
    return format_table(headers, rows)


def format_fields(fields: typing.Mapping[str, typing.Any]) -> str:
    """Return ``name: value`` lines."""
    return '\n'.join(
        f'{name}: {_format_value(fields[name])}' for name in fields
    )


def _format_value(value: object) -> str:
    match value:
        case None | '':
            return '-'
        case bool():
            return 'yes' if value else 'no'
        case float():
            return f'{value:g}'
        case dict():
            return ', '.join(
                f'{key} {_format_value(value[key])}' for key in value
            )
        case list() | tuple():
            return ', '.join(map(_format_value, value)) or '-'
    # Escape line breaks and terminal control sequences.
    text = str(value)
    return text if text.isprintable() else ascii(text)[1:-1]


def _is_number(value: object) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool)


def _format_row(
    row: typing.Sequence[str],
    widths: typing.Sequence[int],
    numeric: typing.Sequence[bool],
) -> str:
    cells = [
        text.rjust(width) if right else text.ljust(width)
        for text, width, right in zip(row, widths, numeric, strict=True)
    ]
    return '  '.join(cells).rstrip()
