"""Request bodies: their typed shapes, decoding and naming of faults."""

import re
import typing

import msgspec

from vanillayoke.core import failures

LONGEST_NAME = 200
LONGEST_DEADLINE = 30 * 24 * 3600.0
LARGEST_NUMBER = 2**53

_FAULT = re.compile(r'(?P<text>.*?)(?: - at `\$\.?(?P<path>.*)`)?', re.DOTALL)
_NAMED_FIELD = re.compile(r'(?P<text>Object .* field) `(?P<name>.*)`')
_POSITION = re.compile(r'\(byte \d+\)')

Name = typing.Annotated[
    str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)
]
Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=LARGEST_NUMBER)]
Seconds = typing.Annotated[float, msgspec.Meta(ge=0, le=LONGEST_DEADLINE)]


class BadField(typing.NamedTuple):
    """A fault of a request; ``field`` is empty where it is the whole."""

    failure: failures.Failure
    field: str


class Body(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A request body; this one has no fields."""


class BudgetBody(Body, frozen=True):
    """Bounds of a program; one left out is the agent's.

    ``seconds`` is model and tool time, ``money`` counts the smallest unit
    of the configuration's currency.
    """

    tokens: Amount | None = None
    calls: Amount | None = None
    seconds: Seconds | None = None
    money: Amount | None = None


class ChildBody(Body, frozen=True, kw_only=True):
    """Opens a sub-agent; ``deadline`` is in seconds from now."""

    agent: Name
    deadline: typing.Annotated[float, msgspec.Meta(gt=0, le=LONGEST_DEADLINE)]
    urgent: bool = False
    budget: BudgetBody = BudgetBody()


class OpenBody(ChildBody, frozen=True, kw_only=True):
    """Opens a program, or a sub-agent where ``parent`` is given."""

    parent: str = ''


class CallBody(Body, frozen=True, kw_only=True):
    """Runs a program on; ``arguments`` is an object for the tool."""

    mode: typing.Literal['call', 'run']
    text: str = ''
    tool: typing.Annotated[str, msgspec.Meta(max_length=LONGEST_NAME)] = ''
    arguments: msgspec.Raw = msgspec.Raw(b'')
    max_tokens: (
        typing.Annotated[int, msgspec.Meta(ge=1, le=LARGEST_NUMBER)] | None
    ) = None
    stream: bool = True


class OperatorBody(Body, frozen=True):
    """Arguments of an operator's command."""

    arguments: dict[str, str] = {}


_Shape = typing.TypeVar('_Shape', bound=Body)


def make_fault(reason: str, field: str = '') -> BadField:
    """Make the fault of a malformed request."""
    failure = failures.Failure(failures.Kind.BAD_REQUEST, reason)
    return BadField(failure, field)


def decode(data: bytes, shape: type[_Shape]) -> _Shape | BadField:
    """Decode a JSON body; an empty one stands for an empty object."""
    try:
        return msgspec.json.decode(data or b'{}', type=shape)
    except msgspec.ValidationError as error:
        return _name_fault(str(error))
    except msgspec.DecodeError as error:
        return _place_fault(str(error), data)
    except RecursionError:
        return make_fault('JSON is nested too deeply')


def _place_fault(text: str, data: bytes) -> BadField:
    if _POSITION.search(text):
        return make_fault(text)
    return make_fault(f'{text} (byte {_find_fault(data)})')


def _find_fault(data: bytes) -> int:
    try:
        data.decode()
    except UnicodeDecodeError as error:
        return error.start
    return len(data)


def _name_fault(message: str) -> BadField:
    fault = _FAULT.fullmatch(message)
    text, path = fault['text'], fault['path'] or ''
    named = _NAMED_FIELD.fullmatch(text)
    if named:
        path = f'{path}.{named["name"]}' if path else named['name']
        return make_fault(named['text'], path)
    if text.startswith('Invalid enum value'):
        # The library repeats the caller's text, which reasons never hold.
        text = 'Unknown value'
    return make_fault(text, path)


def check_call(body: CallBody) -> BadField | None:
    """Return what is wrong in the combination of a call's fields."""
    if body.tool and body.mode == 'run':
        return make_fault('a run chooses its tools itself', 'tool')
    if bytes(body.arguments) and not body.tool:
        return make_fault('arguments go with a tool', 'arguments')
    if read_arguments(body) is None:
        return make_fault('Expected an object in UTF-8', 'arguments')
    return None


def read_arguments(body: CallBody) -> str | None:
    """Return a tool's arguments as JSON text, ``None`` if not an object."""
    if not body.tool:
        return ''
    raw = bytes(body.arguments) or b'{}'
    try:
        text = raw.decode()
    except UnicodeDecodeError:
        return None
    return text if text.startswith('{') else None
