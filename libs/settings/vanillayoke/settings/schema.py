"""JSON Schemas of the settings, generated from their types for editors."""

import copy
import typing

import msgspec

from vanillayoke.settings import configuration
from vanillayoke.settings import descriptions
from vanillayoke.settings import folder
from vanillayoke.settings import process
from vanillayoke.settings import process_checks
from vanillayoke.settings import value_checks

DIALECT = 'https://json-schema.org/draft/2020-12/schema'
_NULL = {'type': 'null'}

Schema = dict[str, typing.Any]


def make_folder_schema() -> Schema:
    """Return the schema of one file of a settings folder.

    A file may contain any part of the settings, so no field is required, and
    ``null`` is allowed for removals.
    """
    schema = _make_schema(configuration.Configuration, value_checks.CHOICES)
    for definition in schema['$defs'].values():
        definition.pop('required', None)
        definition['properties'] = {
            name: _allow_null(value)
            for name, value in definition['properties'].items()
        }
    for section in _find_properties(schema, 'Configuration').values():
        _allow_null_entries(section)
    return schema


def make_process_schema() -> Schema:
    """Return the schema of a process settings file."""
    return _make_schema(process.ProcessSettings, process_checks.CHOICES)


def _make_schema(
    kind: type[msgspec.Struct], choices: dict[str, tuple[str, ...]]
) -> Schema:
    schema = copy.deepcopy(msgspec.json.schema(kind))
    schema['$schema'] = DIALECT
    properties = _find_properties(schema, kind.__name__)
    properties[folder.SCHEMA_KEY] = {'type': 'string'}
    for owner, meanings in descriptions.FIELDS.items():
        _describe_fields(schema, owner, meanings)
    for pattern, allowed in choices.items():
        owner, name = _find_field(kind, pattern)
        field = _find_properties(schema, owner.__name__)[name]
        field['enum'] = list(allowed)
    return schema


def _describe_fields(
    schema: Schema, owner: type, meanings: dict[str, str]
) -> None:
    if owner.__name__ not in schema['$defs']:
        return
    fields = _find_properties(schema, owner.__name__)
    for name, meaning in meanings.items():
        fields[name]['description'] = meaning


def _find_properties(schema: Schema, name: str) -> Schema:
    return schema['$defs'][name]['properties']


def _find_field(
    kind: type[msgspec.Struct], pattern: str
) -> tuple[type[msgspec.Struct], str]:
    """Return the struct type and the field name of a pattern."""
    section, *_, name = pattern.split('.')
    found = typing.get_type_hints(kind)[section]
    entry = typing.get_args(found)
    return (entry[-1] if entry else found), name


def _allow_null(value: Schema) -> Schema:
    annotations = {
        name: value.pop(name)
        for name in ('default', 'description')
        if name in value
    }
    return {**annotations, 'anyOf': [value, _NULL]}


def _allow_null_entries(section: Schema) -> None:
    for choice in section.get('anyOf', ()):
        if 'additionalProperties' in choice:
            entry = choice['additionalProperties']
            choice['additionalProperties'] = {'anyOf': [entry, _NULL]}
