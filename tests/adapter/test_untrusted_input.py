"""Tests of all decoders of bytes that other processes have written."""

import typing

import hypothesis
from hypothesis import strategies
import msgspec

from vanillayoke.adapter import configuration
from vanillayoke.adapter import fields
from vanillayoke.adapter import rows
from vanillayoke.adapter import wire
from vanillayoke.cluster import messages as cluster_messages
from vanillayoke.core import decoding
from vanillayoke.gateway import dialect
from vanillayoke.gateway import limit_accounts
from vanillayoke.gateway import members
from vanillayoke.gateway import messages
from vanillayoke.gateway import peers
from vanillayoke.gateway import sweeping
from vanillayoke.programs import transcripts
from vanillayoke.standins import calls
from vanillayoke.testing import fixtures
from vanillayoke.transport import client
from vanillayoke.transport import server

LONG = b'9' * 400
# As JSON values; each takes the place of one value of a valid message.
FIGURES = (LONG, b'-' + LONG, b'1e999', b'-1e999', b'-1', b'NaN', b'1e18')
NESTED = tuple(
    opening * depth + closing * depth
    for depth in (1500, 60_000)
    for opening, closing in ((b'[', b']'), (b'{"a":', b'}'))
)
JSON_VALUES = (
    *FIGURES,
    *NESTED,
    b'null',
    b'""',
    b'"x"',
    b'[]',
    b'{}',
    b'true',
)
RAW = (
    b'',
    b'\xff\xfe',
    b'"\xff\xfe"',
    b'\x00',
    b'{',
    *JSON_VALUES,
    b'[' * 60_000,
    b'{"a":' * 1500,
    b'{"x":' + NESTED[0] + b'}',
    # MessagePack: deeply nested arrays, and lengths beyond the data.
    b'\x91' * 1500,
    b'\x91' * 60_000 + b'\x90',
    b'\x92\x01' * 1500,
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xc6\xff\xff\xff\xff',
    b'\x94\x01\x01\xcb\x7f\xf8\x00\x00\x00\x00\x00\x00\xc4\x00',
)


class _Decoder(typing.NamedTuple):
    """A decoder, the one error it may raise, and a valid message."""

    decode: typing.Callable[[bytes], typing.Any]
    error: type[Exception]
    example: typing.Any = None


def _decode_call(value: bytes) -> messages.Call:
    headers = [(fields.REQUEST_ID, b'r1'), (b'host', b'site.example')]
    headers += [
        (name, value)
        for name in (
            fields.DEADLINE,
            fields.PROGRAM_ID,
            fields.PROGRAM_DEADLINE,
            fields.TOKEN_BUDGET,
            fields.TOKEN_USAGE,
            fields.PROMPT_PREFIX,
            fields.LENGTH_HINT,
        )
    ]
    request = server.Request(b'POST', b'/a', headers, b'', False)
    return wire.PlatformDialect().decode_call(request)


def _decode_lookup(value: bytes) -> dialect.Lookup:
    request = server.Request(b'GET', value, [], b'', False)
    return wire.PlatformDialect().decode_lookup(request)


def _decode_answer(value: bytes) -> messages.ResponseMetadata:
    names = (fields.SERVER_LOAD, fields.REQUEST_ID, fields.STAMP)
    head = client.Head(200, [(name, value) for name in names])
    return wire.PlatformDialect().decode_answer(head)


class _NeverRaised(Exception):
    pass


_SERVER = calls.make_server_row('tools', '10.8.0.1:8080', 4, 'ready', 'z1')
_PAGE = {
    'rows': [
        {'table': 't', 'part': '', 'key': 'k', 'value': 'eA==', 'ver': 3},
        {'table': 't', 'part': '', 'key': 'l', 'value': 'eQ==', 'ver': 4},
    ],
    'ver': 4,
    'has_more': False,
    'server_time_ms': 1.5,
}
_INSTANCE = {
    'instance': 'i1',
    'incarnation': 1,
    'zone': 'z1',
    'region': 'r1',
    'front': '10.1.0.1:8149',
    'peer': '10.1.0.1:7380',
}
DECODERS = {
    'configuration': _Decoder(
        configuration.decode_configuration,
        dialect.BadRowError,
        calls.make_configuration(1, calls.make_routes('tools')),
    ),
    'target': _Decoder(
        lambda value: configuration.decode_target('s1', value),
        dialect.BadRowError,
        _SERVER,
    ),
    'target key': _Decoder(
        lambda value: configuration.decode_target(
            value.decode('latin-1'), msgspec.json.encode(_SERVER)
        ),
        dialect.BadRowError,
    ),
    'page': _Decoder(rows.decode_page, dialect.BadRowError, _PAGE),
    'outcome': _Decoder(
        lambda value: rows.decode_outcome(200, value), dialect.BadRowError
    ),
    'instance': _Decoder(
        members.ROW_DECODER.decode, decoding.DecodingError, _INSTANCE
    ),
    'turn': _Decoder(
        lambda value: transcripts.decode_rows('t', {'t': value}),
        transcripts.CorruptTurnError,
    ),
    'turn expiry': _Decoder(
        lambda value: transcripts.decode_expiry(value, 1.0), _NeverRaised
    ),
    'budget expiry': _Decoder(
        lambda value: sweeping.read_budget_expiry(value, 1.0), _NeverRaised
    ),
    'limit expiry': _Decoder(
        lambda value: limit_accounts.read_expiry(value, 1.0), _NeverRaised
    ),
    'membership': _Decoder(cluster_messages.decode_packet, _NeverRaised),
    'membership updates': _Decoder(
        lambda value: cluster_messages.decode_updates([msgspec.Raw(value)]),
        _NeverRaised,
    ),
    'call': _Decoder(_decode_call, dialect.BadCallError),
    'lookup': _Decoder(_decode_lookup, dialect.BadCallError),
    'answer': _Decoder(_decode_answer, _NeverRaised),
    **{
        f'peer {kind}': _Decoder(decoder.decode, decoding.DecodingError)
        for kind, decoder in peers._DECODERS.items()
    },
}


def _check(case, name: str, decoder: _Decoder, value: bytes) -> None:
    try:
        decoder.decode(value)
    except decoder.error:
        return
    except Exception as error:
        case.fail(f'{name} of {value[:40]!r}: {type(error).__name__}: {error}')


def _replace_values(example: typing.Any) -> typing.Iterator[bytes]:
    """Yield the message with each of its values replaced, one at a time.

    Each is also added under an unknown name to each object.
    """
    paths = list(_list_paths(example))
    for value in JSON_VALUES:
        for path in paths:
            marked = msgspec.json.decode(msgspec.json.encode(example))
            place = marked
            for key in path[:-1]:
                place = place[key]
            place[path[-1]] = '@value@'
            yield msgspec.json.encode(marked).replace(b'"@value@"', value)


def _list_paths(value: typing.Any) -> typing.Iterator[tuple]:
    if isinstance(value, dict):
        yield ('an unknown field',)
    items = {dict: lambda: value.items(), list: lambda: enumerate(value)}
    for key, child in items.get(type(value), lambda: ())():
        yield (key,)
        for path in _list_paths(child):
            yield (key, *path)


def test_decoders_raise_one_error_for_unreadable_bytes(case):
    """Nested or absurd bytes raised errors that ended a feed of all rows."""
    for name, decoder in DECODERS.items():
        for value in RAW:
            _check(case, name, decoder, value)


def test_decoders_raise_one_error_for_an_unusable_value(case):
    """A single value that no one can use ended a feed of all rows."""
    for name, decoder in DECODERS.items():
        if decoder.example is not None:
            decoder.decode(msgspec.json.encode(decoder.example))
            for message in _replace_values(decoder.example):
                _check(case, name, decoder, message)


@hypothesis.settings(
    derandomize=True, max_examples=150, deadline=None, database=None
)
@hypothesis.given(
    strategies.one_of(
        strategies.binary(max_size=200),
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-(2**63), 2**64 - 1)
            | strategies.floats()
            | strategies.text(max_size=8),
            lambda children: strategies.lists(children, max_size=6),
            max_leaves=20,
        ).map(msgspec.msgpack.encode),
    )
)
def _check_any_bytes(case, value):
    for name, decoder in DECODERS.items():
        _check(case, name, decoder, value)


def test_decoders_raise_one_error_for_any_bytes(case):
    """Bytes of another program raised errors that no caller handles."""
    _check_any_bytes(case)


def test_target_with_an_unusable_figure_is_rejected(case):
    """A slot count of 400 digits was accepted and failed every request."""
    sound = msgspec.json.encode(_SERVER)
    for field in ('slot_count', 'cold_left_ms', 'call_seq', 'born'):
        for figure in (LONG, b'-1', b'1e999', b'NaN'):
            marked = msgspec.json.encode({**_SERVER, field: '@value@'})
            value = marked.replace(b'"@value@"', figure)
            with case.assertRaises(dialect.BadRowError, msg=(field, figure)):
                configuration.decode_target('s1', value)
    case.assertEqual('s1', configuration.decode_target('s1', sound).name)


def test_target_with_an_unusable_address_is_rejected(case):
    """A port beyond 65535 raised an error in each request to the target."""
    for address in ('10.8.0.1:99999', '999.8.0.1:80', '10.8.0.1:0', 'a:1'):
        value = msgspec.json.encode({**_SERVER, 'address': address})
        with case.assertRaises(dialect.BadRowError, msg=address):
            configuration.decode_target('s1', value)


def test_target_whose_key_breaks_a_header_is_rejected(case):
    """The key of a row, sent in a header field, could add header fields."""
    value = msgspec.json.encode(_SERVER)
    for key in ('', 's1\r\nX-Other: 1', 's 1', 's\xe9'):
        with case.assertRaises(dialect.BadRowError, msg=key):
            configuration.decode_target(key, value)


def test_value_nested_too_deeply_spoils_only_its_row(case):
    """One nested value made a page of the store unreadable."""
    for value in NESTED:
        page = {**_PAGE, 'more': '@value@'}
        page['rows'] = [
            {**page['rows'][0], 'value': '@value@'},
            _PAGE['rows'][1],
        ]
        body = msgspec.json.encode(page).replace(b'"@value@"', value)
        decoded = rows.decode_page(body)
        case.assertEqual(
            [rows.UNREADABLE, b'y'], [row.value for row in decoded.rows]
        )


def test_load_report_with_an_unusable_figure_is_rejected(case):
    """Negative and absurd loads were taken from reports of three figures."""
    sound = wire._decode_load(b'1, 2,4')
    case.assertEqual(messages.Load(1, 2, 4), sound)
    for report in (
        b'-1,0,4',
        LONG + b',0,4',
        b'1,1e9,4',
        b'0,0,4,NaN',
        b'1,2',
    ):
        case.assertIsNone(wire._decode_load(report), msg=report)


def test_count_out_of_range_is_a_malformed_call(case):
    """Absurd token counts failed the request's handler instead."""
    for value in (LONG, b'-1', b'1e30', b'1e999', b'NaN'):
        for name in (fields.TOKEN_BUDGET, fields.LENGTH_HINT):
            headers = [
                (fields.REQUEST_ID, b'r1'),
                (fields.PROGRAM_ID, b'p1'),
                (name, value),
            ]
            request = server.Request(b'POST', b'/a', headers, b'', False)
            with case.assertRaises(dialect.BadCallError, msg=(name, value)):
                wire.PlatformDialect().decode_call(request)


def test_deep_values_are_cut_and_the_rest_is_kept(case):
    """Brackets within strings, or unbalanced ones, must not be counted."""
    text = b'{"a":"[[[\\"[","b":[[1]],"c":[[[2]]],"d":3}'
    case.assertEqual(
        b'{"a":"[[[\\"[","b":[[1]],"c":[[false]],"d":3}',
        decoding.cut_deep_values(text, 3),
    )
    case.assertEqual(b'[false', decoding.cut_deep_values(b'[[[', 1))


load_tests = fixtures.adapt(__name__)
