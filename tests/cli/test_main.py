"""Tests of the command line itself and of commands without network."""

import json

from tests.cli import cli_fixtures
from vanillayoke.cli import commands
from vanillayoke.testing import fixtures


def test_every_command_is_listed_with_its_help(case, command_line):
    overview = command_line.run('help')
    case.assertEqual(0, overview.status)
    for name in commands.list_names():
        summary = commands.find_command(name).summary
        case.assertIn(f'{name:<10} {summary}', overview.output)
        shown = command_line.run(name, '--help')
        case.assertEqual((0, ''), (shown.status, shown.errors))
        case.assertTrue(shown.output.startswith(summary))


def test_bad_words_give_status_2_and_say_why(case, command_line):
    for words, text in (
        ((), 'Usage'),
        (('chekc',), 'no command "chekc"'),
        (('check',), 'FOLDER'),
        (('check', 'a', 'b'), '2 are given'),
        (('check', 'a', '--nosuch'), 'nosuch'),
        (('schema', '--kind=x'), 'kind'),
        (('serve',), '--settings'),
        (('serve', '--settings=/nowhere'), 'settings.E001'),
    ):
        result = command_line.run(*words)
        case.assertEqual(2, result.status, words)
        case.assertIn(text, result.errors)


def test_check_reports_every_fault_on_a_line(case, command_line):
    case.assertEqual(
        0, command_line.run('check', command_line.folder.path).status
    )
    command_line.folder.write('20.json', '{"agents": {"b": {}},\n "tols": {}}')
    result = command_line.run('check', command_line.folder.path)
    case.assertEqual(2, result.status)
    case.assertRegex(
        result.errors, r'(?m)20\.json:1:18: settings\.E012 at age'
    )
    case.assertRegex(
        result.errors, r'(?m)20\.json:2:2: settings\.E011 at tols'
    )
    case.assertIn('Faults: 2.', result.output)


def test_warnings_fail_only_a_strict_check(case, command_line):
    command_line.folder.write(
        '20.json', '{"clients": {"shop": {"key_hashes": []}}}'
    )
    path = command_line.folder.path
    case.assertEqual(0, command_line.run('check', path).status)
    case.assertEqual(2, command_line.run('check', path, '--strict').status)


def test_show_names_the_origin_of_each_value(case, command_line):
    command_line.folder.write(
        '20.json', '{"agents":\n{"board": {"max_tokens": 7}}}'
    )
    result = command_line.run('show', command_line.folder.path)
    case.assertEqual(0, result.status)
    case.assertIn('agents.board.max_tokens = 7  // 20.json:2', result.output)
    case.assertIn(
        'agents.board.model = "mm"  // 10-base.json:3', result.output
    )
    shown = json.loads(
        command_line.run('show', command_line.folder.path, '--json').output
    )
    case.assertEqual(7, shown['settings']['agents']['board']['max_tokens'])
    case.assertEqual('20.json:2', shown['origins']['agents.board.max_tokens'])


def test_schema_is_json_for_both_kinds(case, command_line):
    for kind in ('folder', 'process'):
        schema = json.loads(
            command_line.run('schema', f'--kind={kind}').output
        )
        case.assertIn('$defs', schema)


load_tests = fixtures.adapt(__name__, [cli_fixtures])
