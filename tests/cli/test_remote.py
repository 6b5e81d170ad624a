"""Tests of commands that query instances, and of apply and diff."""

import json

from tests.cli import cli_fixtures
from tests.settings import broken
from vanillayoke.testing import fixtures

_PROGRAM = {
    'program': 'prg-1',
    'steps': [
        {'number': 1, 'kind': 'model', 'name': 'mm', 'state': 'answered'}
    ],
    'budget': {'tokens': 100},
    'spent': {'tokens': 40},
    'waiting_for': 'capacity',
}
_PLACEMENT = {
    'call': 3,
    'target': 'engine-1',
    'weighed': [
        {'target': 'engine-1', 'cost': 0.5, 'cached': 9, 'reason': 'chosen'},
        {'target': 'engine-2', 'cost': 1.5, 'cached': 0, 'reason': 'cold'},
    ],
}


@fixtures.on_real_loop
async def test_status_shows_instances_and_targets(
    case, command_line, instances
):
    instances[0].responses['targets'] = [
        {'target': 'engine-1', 'kind': 'engine', 'leaving': True}
    ]
    result = await command_line.run_async('status')
    case.assertEqual((0, ''), (result.status, result.errors))
    case.assertIn('Configuration version: 0', result.output)
    case.assertRegex(result.output, r'i-2 +a +alive +0 +4 +2')
    case.assertRegex(result.output, r'engine-1 +engine +- +- +- +yes')
    shown = json.loads(
        (await command_line.run_async('status', '--json')).output
    )
    case.assertEqual(2, len(shown['instances']))


@fixtures.on_real_loop
async def test_status_names_instances_that_do_not_answer(
    case, command_line, instances
):
    await instances[1].stop()
    result = await command_line.run_async('status')
    case.assertEqual(4, result.status)
    case.assertRegex(result.output, r'i-2 +a +alive +- +- +-')
    case.assertIn(instances[1].address, result.errors)


@fixtures.on_real_loop
async def test_unreachable_entry_is_skipped(case, command_line, instances):
    entries = f'127.0.0.1:1,{instances[0].address}'
    result = await command_line.run_async('status', f'--entry={entries}')
    case.assertEqual(0, result.status)
    result = await command_line.run_async('status', '--entry=127.0.0.1:1')
    case.assertEqual(4, result.status)


@fixtures.on_real_loop
async def test_access_is_checked(case, command_line, instances):
    command_line.environ['VANILLAYOKE_OPERATOR_KEY'] = 'wrong'
    result = await command_line.run_async('status')
    case.assertEqual(2, result.status)
    case.assertIn('unauthenticated', result.errors)
    key = command_line.folder.write('.key', f'{cli_fixtures.KEY}\n')
    result = await command_line.run_async(
        'status', f'--operator_key_file={key}'
    )
    case.assertEqual(0, result.status)
    command_line.environ.clear()
    for words in (
        ['status'],
        ['status', '--entry=localhost:80'],
        ['status', f'--entry={instances[0].address}'],
        ['diff', command_line.folder.path],
    ):
        case.assertEqual(
            2, (await command_line.run_async(*words)).status, words
        )


@fixtures.on_real_loop
async def test_programs_of_all_instances_are_merged(
    case, command_line, instances
):
    for number, instance in enumerate(instances):
        instance.responses['programs'] = {
            'programs': [
                {'program': f'prg-{number}', 'client': f'c{number}'},
                {'program': 'prg-9', 'client': 'c9'},
            ]
        }
    result = await command_line.run_async('programs', '--json')
    listed = [row['program'] for row in json.loads(result.output)['programs']]
    case.assertEqual(['prg-0', 'prg-1', 'prg-9'], listed)
    result = await command_line.run_async('programs', '--client=c1')
    case.assertIn('prg-1', result.output)
    case.assertNotIn('prg-9', result.output)


@fixtures.on_real_loop
async def test_unreachable_instance_is_reported_with_programs(
    case, command_line, instances
):
    instances[0].responses['programs'] = {'programs': []}
    await instances[1].stop()
    result = await command_line.run_async('programs')
    case.assertEqual(4, result.status)
    case.assertIn(instances[1].address, result.errors)


@fixtures.on_real_loop
async def test_program_is_found_on_its_owner(case, command_line, instances):
    instances[1].responses['program'] = _PROGRAM
    result = await command_line.run_async('program', 'prg-1')
    case.assertEqual(0, result.status)
    case.assertIn('Waiting for: capacity', result.output)
    case.assertRegex(result.output, r'tokens +40 +100')
    case.assertIn(('program', {'program': 'prg-1'}), instances[1].received)


@fixtures.on_real_loop
async def test_absent_program_is_distinguished_from_an_unreachable_owner(
    case, command_line, instances
):
    """A program is reported as not found while its owner is unreachable."""
    case.assertEqual(
        1, (await command_line.run_async('program', 'prg-1')).status
    )
    await instances[1].stop()
    case.assertEqual(
        4, (await command_line.run_async('program', 'prg-1')).status
    )


@fixtures.on_real_loop
async def test_explain_shows_the_candidate_targets(
    case, command_line, instances
):
    instances[0].responses['explain'] = {
        'program': 'prg-1',
        'placements': [_PLACEMENT],
    }
    result = await command_line.run_async('explain', 'prg-1')
    case.assertIn('Call 3 ran on engine-1.', result.output)
    case.assertRegex(result.output, r'engine-2 +1\.5 +0 +cold')


def _make_event(instance, time):
    return {
        'time': time << 16,
        'number': 0,
        'name': f'event-{time}',
        'instance': instance,
        'program': 'prg-1',
        'target': '',
        'fields': {},
    }


@fixtures.on_real_loop
async def test_timeline_merges_all_instances(case, command_line, instances):
    for instance, times in zip(instances, ((1, 4), (2, 3)), strict=True):
        instance.responses['timeline'] = {
            'instance': instance.name,
            'events': [_make_event(instance.name, time) for time in times],
        }
    result = await command_line.run_async(
        'timeline', '--json', '--program=prg-1'
    )
    names = [event['name'] for event in json.loads(result.output)['events']]
    case.assertEqual([f'event-{time}' for time in (1, 2, 3, 4)], names)
    for form, start in (('html', '<!DOCTYPE'), ('trace', '{"traceEvents"')):
        file = command_line.folder.path / form
        result = await command_line.run_async(
            'timeline', f'--format={form}', f'--output={file}'
        )
        case.assertEqual((0, ''), (result.status, result.output))
        case.assertTrue(file.read_text().startswith(start))
    text = (await command_line.run_async('timeline', '--instance=i-2')).output
    case.assertEqual(2, text.count('i-2'))
    case.assertNotIn('i-1', text)


@fixtures.on_real_loop
async def test_drain_is_sent_to_the_named_instance_only(
    case, command_line, instances
):
    instances[1].responses['drain'] = {'state': 'draining'}
    result = await command_line.run_async('drain', 'i-2')
    case.assertEqual(0, result.status)
    case.assertIn(('drain', {'instance': 'i-2'}), instances[1].received)
    case.assertNotIn('drain', [name for name, _ in instances[0].received])
    result = await command_line.run_async('drain', 'i-9')
    case.assertEqual(2, result.status)
    case.assertIn('i-1, i-2', result.errors)


@fixtures.on_real_loop
async def test_unexpected_response_format_is_a_failure(
    case, command_line, instances
):
    instances[0].responses['explain'] = {'surprise': 1}
    case.assertEqual(
        1, (await command_line.run_async('explain', 'prg-1')).status
    )


@fixtures.on_real_loop
async def test_apply_waits_until_all_have_the_version(
    case, command_line, platform, instances
):
    for instance in instances:
        instance.version = 1
    result = await command_line.run_async('diff', command_line.folder.path)
    case.assertIn('+ agents.board: ', result.output)
    # The table is empty, but the instances report version 1, so that the
    # next version is 2.
    result = await command_line.run_async(
        'apply', command_line.folder.path, '--wait_timeout=0'
    )
    case.assertIn('Accepted as version 2', result.output)
    case.assertEqual(4, result.status)
    case.assertIn('not in force on: i-1, i-2', result.errors)
    instances[0].version = 2
    result = await command_line.run_async(
        'apply', command_line.folder.path, '--wait_timeout=0'
    )
    case.assertIn('Version 2 is the same.', result.output)
    case.assertIn('not in force on: i-2', result.errors)
    instances[1].version = 2
    result = await command_line.run_async(
        'apply', command_line.folder.path, '--wait_timeout=0'
    )
    case.assertEqual(0, result.status)
    case.assertIn('in force everywhere', result.output)


@fixtures.on_real_loop
async def test_invalid_folders_change_nothing(
    case, command_line, platform, instances
):
    """Applying a folder with an invalid value replaces the configuration.

    The store must not be accessed at all.
    """
    for item in (*broken.list_handwritten(), *broken.generate()):
        command_line.folder.write(broken.CHANGED_FILE, item.text)
        result = await command_line.run_async(
            'apply', command_line.folder.path
        )
        where = f'{command_line.folder.path / item.file}:{item.line}:'
        case.assertEqual((2, ''), (result.status, result.output))
        case.assertRegex(result.errors, f'(?m)^{where}[0-9]+: {item.id}')
    counters = platform.memory.table.counters
    case.assertEqual((0, 0), (counters.reads, counters.writes))
    case.assertEqual([], instances[0].received)


@fixtures.on_real_loop
async def test_apply_on_another_base_names_the_winner(
    case, command_line, platform, instances
):
    words = ['apply', command_line.folder.path, '--nowait']
    case.assertEqual(
        0, (await command_line.run_async(*words, '--author=ann')).status
    )
    command_line.folder.write('20.json', '{"policy": {"repeated_steps": 9}}')
    result = await command_line.run_async(*words, '--author=bob', '--base=0')
    case.assertEqual(3, result.status)
    case.assertIn('ann was first with version 1', result.errors)
    result = await command_line.run_async(*words, '--author=bob', '--base=1')
    case.assertEqual(0, result.status)
    case.assertIn('~ policy.repeated_steps: 8 -> 9', result.output)


@fixtures.on_real_loop
async def test_unreachable_store_gives_status_4(case, command_line):
    urls = ['--table=http://127.0.0.1:1', '--objects=http://127.0.0.1:1']
    words = ['diff', command_line.folder.path, '--store_timeout=0.1', *urls]
    case.assertEqual(4, (await command_line.run_async(*words)).status)


load_tests = fixtures.adapt(__name__, [cli_fixtures])
