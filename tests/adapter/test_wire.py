"""Tests of encoding and decoding the platform's wire protocol."""

import pathlib
import platform
import tempfile

import msgspec

from vanillayoke.adapter import configuration
from vanillayoke.adapter import rows
from vanillayoke.adapter import settings
from vanillayoke.adapter import wire
from vanillayoke.gateway import dialect
from vanillayoke.gateway import messages
from vanillayoke.gateway import process
from vanillayoke.standins import calls
from vanillayoke.testing import fixtures
from vanillayoke.transport import client
from vanillayoke.transport import server

SETTINGS = {
    'node': 'i1',
    'node_ip': '10.1.0.1',
    'zone': 'z1',
    'region': 'r1',
    'listen_addrs': {'front': 'a:1', 'ready': 'a:2', 'directory': 'a:3'},
    'port_range': [7380, 7395],
    'platform': {'address': '10.9.0.1:8142'},
    'something_new': {'x': 1},
}


@fixtures.fixture
def folder():
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def _decode(*headers):
    request = server.Request(b'POST', b'/a/b?c=d', list(headers), b'', False)
    return wire.PlatformDialect().decode_call(request)


def test_standard_module_platform_is_not_shadowed(case):
    case.assertTrue(hasattr(platform, 'python_implementation'))


def test_settings_are_read_and_unknown_fields_ignored(case, folder):
    path = folder / 'settings.json'
    path.write_bytes(msgspec.json.encode(SETTINGS))
    decoded = settings.read_settings(str(path))
    case.assertEqual(('i1', 'z1'), (decoded.instance, decoded.zone))


def test_settings_without_rules_and_limits_enable_no_overload_control(
    case, folder
):
    """An earlier deployment would be served differently."""
    path = folder / 'settings.json'
    path.write_bytes(msgspec.json.encode(SETTINGS))
    decoded = settings.read_settings(str(path))
    case.assertFalse(decoded.has_overload_control)
    case.assertIsNone(decoded.memory_limit)


def test_rules_and_limits_of_settings_are_decoded(case, folder):
    path = folder / 'settings.json'
    limits = {'memory_mb': 128, 'max_fds': 4100.0}
    more = {'active_rules': ['base', 'pressure'], 'limits': limits}
    path.write_bytes(msgspec.json.encode({**SETTINGS, **more}))
    decoded = settings.read_settings(str(path))
    case.assertTrue(decoded.has_overload_control)
    case.assertEqual(128 * 1024 * 1024, decoded.memory_limit)
    case.assertEqual(4100, decoded.descriptor_limit)


def test_error_for_invalid_settings_names_file_and_field(case, folder):
    path = folder / 'settings.json'
    path.write_bytes(msgspec.json.encode({**SETTINGS, 'zone': 7}))
    with case.assertRaises(process.SettingsError) as caught:
        settings.read_settings(str(path))
    case.assertIn('settings.json', str(caught.exception))
    case.assertIn('zone', str(caught.exception))


def test_call_without_an_id_is_rejected(case):
    with case.assertRaises(dialect.BadCallError):
        _decode((b'Host', b'x'))


def test_malformed_numbers_are_rejected(case):
    for name, value in (
        (b'X-Vanillayoke-Deadline-Ms', b'soon'),
        (b'X-Vanillayoke-Token-Usage', b'1;2'),
        (b'X-Vanillayoke-Prompt-Prefix', b'ab:cd'),
        (b'X-Vanillayoke-Deadline-Ms', b'nan'),
    ):
        with case.assertRaises(dialect.BadCallError):
            _decode((b'X-Vanillayoke-Request-Id', b'r'), (name, value))


def test_infinite_counts_are_rejected(case):
    """Their conversion raised an error that is not answered with 400."""
    for name in (
        b'X-Vanillayoke-Token-Budget',
        b'X-Vanillayoke-Length-Hint',
    ):
        for value in (b'inf', b'-inf', b'1e999', b'nan'):
            with (
                case.subTest(name=name, value=value),
                case.assertRaisesRegex(dialect.BadCallError, 'not a finite'),
            ):
                _decode(
                    (b'X-Vanillayoke-Request-Id', b'r'),
                    (b'X-Vanillayoke-Program-Id', b'p'),
                    (name, value),
                )


def test_all_fields_of_a_turn_are_decoded(case):
    call = _decode(
        (b'Host', b'Site.example:80'),
        (b'X-Vanillayoke-Request-Id', b'r1'),
        (b'X-Vanillayoke-Program-Id', b'p1'),
        (b'X-Vanillayoke-Session-Id', b's1'),
        (b'X-Vanillayoke-Program-Deadline-Ms', b'5200'),
        (b'X-Vanillayoke-Token-Budget', b'2320'),
        (b'X-Vanillayoke-Token-Usage', b'1840,290'),
        (b'X-Vanillayoke-Prompt-Prefix', b'5c:800,91:410'),
        (b'X-Vanillayoke-Previous-Turn', b'r0'),
    )
    case.assertEqual(('site.example', '/a/b'), (call.host, call.path))
    case.assertEqual(messages.Program('p1', 's1', 5.2, 2320), call.program)
    case.assertEqual((1840, 290), (call.prompt_tokens, call.max_tokens))
    case.assertEqual((('5c', 800), ('91', 410)), call.prefix)
    case.assertEqual('r0', call.previous_turn)
    case.assertIsNone(call.resumes)


def test_fields_of_a_resumed_stream_are_decoded(case):
    call = _decode(
        (b'X-Vanillayoke-Request-Id', b'r2'),
        (b'Last-Event-Id', b'7'),
        (b'Resumes', b'r1'),
    )
    case.assertEqual((b'7', 'r1'), (call.last_event, call.resumes))


def test_software_version_of_a_server_is_decoded(case):
    row = calls.make_server_row(
        'models', '10.8.0.1:8080', 4, 'ready', software_version='v1.1'
    )
    target = configuration.decode_target('m1', msgspec.json.encode(row))
    case.assertEqual('v1.1', target.software_version)


def _decode_report(report):
    head = client.Head(200, [(b'X-Vanillayoke-Server-Load', report)])
    return wire.PlatformDialect().decode_answer(head)


def test_load_reports_are_decoded(case):
    """The contention is the fourth figure, which not all targets send."""
    for report, load in (
        (b'3,0,6', messages.Load(3, 0, 6)),
        (b'3, 2, 6', messages.Load(3, 2, 6)),
        (b'3,0,6,100', messages.Load(3, 0, 6, 1.0)),
        (b'6,18,6,250', messages.Load(6, 18, 6, 2.5)),
        (b'3, 0, 6, 70', messages.Load(3, 0, 6, 0.7)),
    ):
        metadata = _decode_report(report)
        case.assertEqual(load, metadata.load, report)
        case.assertFalse(metadata.is_load_malformed, report)


def test_malformed_load_reports_are_recognised_and_not_used(case):
    """A wrong figure would keep work away from a target or attract it."""
    for report in (
        b'',
        b'3,0',
        b'3,0,x',
        b'3,0,6,',
        b'3,0,6,-100',
        b'-3,0,6,100',
        b'3,-1,6,100',
        b'3,0,6,0',
        b'3,0,6,9',
        b'3,0,6,1000000000',
        b'1000000000,0,6,100',
        b'3,0,1000000000,100',
        b'3,0,6,inf',
        b'3,0,6,nan',
        b'3,0,6,1e3',
        b'3,0,6,100.0',
        b'3,0,6,1_00',
        b'3,0,6,+100',
        b'3,0,6,100%',
        b'3,0,6,100,1',
        b'3,0,6,' + b'9' * 5000,
    ):
        metadata = _decode_report(report)
        case.assertIsNone(metadata.load, report)
        case.assertTrue(metadata.is_load_malformed, report)


def test_response_without_a_load_report_is_not_malformed(case):
    """Each response of a service without reports would be counted."""
    metadata = wire.PlatformDialect().decode_answer(client.Head(200, []))
    case.assertIsNone(metadata.load)
    case.assertFalse(metadata.is_load_malformed)


def test_error_for_an_unknown_service_names_route_and_service(case):
    routes = [calls.make_route('r', 'nowhere', 'safe')]
    value = msgspec.json.encode(calls.make_configuration(3, routes))
    with case.assertRaises(dialect.BadRowError) as caught:
        configuration.decode_configuration(value)
    case.assertIn('route r', str(caught.exception))
    case.assertIn('nowhere', str(caught.exception))


def test_malformed_pages_are_rejected(case):
    for body in (b'', b'[]', b'{"rows":[{"table":1}]}', b'{"rows":7}'):
        with case.assertRaises(dialect.BadRowError):
            rows.decode_page(body)


def test_unreadable_row_does_not_affect_the_others(case):
    """One corrupt row must not stop instances from following its table."""
    good = {'table': 't', 'part': '', 'key': 'k1', 'value': 'dg==', 'ver': 1}
    for value in ('%%', 7, ['x'], {'a': 1}, 'd'):
        corrupt = {**good, 'key': 'k2', 'value': value, 'ver': 2}
        body = msgspec.json.encode({'rows': [corrupt, good], 'ver': 3})
        by_key = {row.where.key: row for row in rows.decode_page(body).rows}
        case.assertEqual(b'v', by_key['k1'].value)
        case.assertEqual((rows.UNREADABLE, 2), by_key['k2'][1:])
        for decode in (
            lambda value: configuration.decode_target('k2', value),
            configuration.decode_configuration,
        ):
            with case.assertRaises(dialect.BadRowError):
                decode(by_key['k2'].value)


def test_malformed_server_rows_are_rejected(case):
    good = calls.make_server_row('models', '10.8.0.1:8080', 4, 'ready', born=5)
    target = configuration.decode_target('m1', msgspec.json.encode(good))
    case.assertEqual(('models', 4, 5), (target[1], target.slots, target[6]))
    malformed = [
        {name: good[name] for name in good if name != omitted}
        for omitted in good
        if omitted != 'born'
    ]
    malformed += [
        {**good, **change}
        for change in (
            {'state': 'resting'},
            {'state': 1},
            {'slot_count': 'many'},
            {'slot_count': 2.5},
            {'address': 'nowhere'},
            {'address': '10.8.0.1:0'},
            {'address': '10.8.0.1:http'},
            {'address': 7},
            {'zone': None},
            {'born': 'today'},
            {'born': 1.5},
            {'call_seq': []},
        )
    ]
    for row in malformed:
        with case.subTest(row=row), case.assertRaises(dialect.BadRowError):
            configuration.decode_target('m1', msgspec.json.encode(row))


def test_transaction_and_its_outcome(case):
    where = messages.RowKey('t', 'p', 'k')
    request = rows.encode_transaction(
        messages.Transaction(((where, 0),), ((where, b'v'),))
    )
    case.assertEqual(
        {
            'expected': [{'table': 't', 'part': 'p', 'key': 'k', 'ver': 0}],
            'writes': [
                {'table': 't', 'part': 'p', 'key': 'k', 'value': 'dg=='}
            ],
            'remove': [],
        },
        msgspec.json.decode(request.body),
    )
    case.assertEqual(
        messages.Committed(9), rows.decode_outcome(200, b'{"ver":9}')
    )


load_tests = fixtures.adapt(__name__)
