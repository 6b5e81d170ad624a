"""Tests of commands that ask instances, and of apply and diff."""

import json

from tests.cli import runs
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
async def test_status_shows_instances_and_targets(case, line, instances):
    instances[0].answers['targets'] = [
        {'target': 'engine-1', 'kind': 'engine', 'leaving': True}
    ]
    ran = await line.wait('status')
    case.assertEqual((0, ''), (ran.status, ran.errors))
    case.assertIn('Configuration version: 0', ran.output)
    case.assertRegex(ran.output, r'i-2 +a +alive +0 +4 +2')
    case.assertRegex(ran.output, r'engine-1 +engine +- +- +- +yes')
    shown = json.loads((await line.wait('status', '--json')).output)
    case.assertEqual(2, len(shown['instances']))


@fixtures.on_real_loop
async def test_status_names_instances_that_do_not_answer(
    case, line, instances
):
    await instances[1].stop()
    ran = await line.wait('status')
    case.assertEqual(4, ran.status)
    case.assertRegex(ran.output, r'i-2 +a +alive +- +- +-')
    case.assertIn(instances[1].address, ran.errors)


@fixtures.on_real_loop
async def test_dead_entry_is_passed_over(case, line, instances):
    entries = f'127.0.0.1:1,{instances[0].address}'
    ran = await line.wait('status', f'--entry={entries}')
    case.assertEqual(0, ran.status)
    ran = await line.wait('status', '--entry=127.0.0.1:1')
    case.assertEqual(4, ran.status)


@fixtures.on_real_loop
async def test_access_is_checked(case, line, instances):
    line.environ['VANILLAYOKE_OPERATOR_KEY'] = 'wrong'
    ran = await line.wait('status')
    case.assertEqual(2, ran.status)
    case.assertIn('unauthenticated', ran.errors)
    key = line.folder.write('.key', f'{runs.KEY}\n')
    ran = await line.wait('status', f'--operator_key_file={key}')
    case.assertEqual(0, ran.status)
    line.environ.clear()
    for words in (
        ['status'],
        ['status', '--entry=localhost:80'],
        ['status', f'--entry={instances[0].address}'],
        ['diff', line.folder.path],
    ):
        case.assertEqual(2, (await line.wait(*words)).status, words)


@fixtures.on_real_loop
async def test_programs_of_all_instances_are_merged(case, line, instances):
    for number, instance in enumerate(instances):
        instance.answers['programs'] = {
            'programs': [
                {'program': f'prg-{number}', 'client': f'c{number}'},
                {'program': 'prg-9', 'client': 'c9'},
            ]
        }
    ran = await line.wait('programs', '--json')
    listed = [row['program'] for row in json.loads(ran.output)['programs']]
    case.assertEqual(['prg-0', 'prg-1', 'prg-9'], listed)
    ran = await line.wait('programs', '--client=c1')
    case.assertIn('prg-1', ran.output)
    case.assertNotIn('prg-9', ran.output)


@fixtures.on_real_loop
async def test_programs_of_a_dead_instance_are_missed(case, line, instances):
    instances[0].answers['programs'] = {'programs': []}
    await instances[1].stop()
    ran = await line.wait('programs')
    case.assertEqual(4, ran.status)
    case.assertIn(instances[1].address, ran.errors)


@fixtures.on_real_loop
async def test_program_is_found_on_its_owner(case, line, instances):
    instances[1].answers['program'] = _PROGRAM
    ran = await line.wait('program', 'prg-1')
    case.assertEqual(0, ran.status)
    case.assertIn('Waiting for: capacity', ran.output)
    case.assertRegex(ran.output, r'tokens +40 +100')
    case.assertIn(('program', {'program': 'prg-1'}), instances[1].asked)


@fixtures.on_real_loop
async def test_absent_program_is_told_from_an_unreachable_owner(
    case, line, instances
):
    """An operator believes that a program is lost.

    Its owner cannot be reached; the others truthfully say that they have
    no such program, and the command passes that on as the answer.
    """
    case.assertEqual(1, (await line.wait('program', 'prg-1')).status)
    await instances[1].stop()
    case.assertEqual(4, (await line.wait('program', 'prg-1')).status)


@fixtures.on_real_loop
async def test_explain_shows_what_was_weighed(case, line, instances):
    instances[0].answers['explain'] = {
        'program': 'prg-1',
        'placements': [_PLACEMENT],
    }
    ran = await line.wait('explain', 'prg-1')
    case.assertIn('Call 3 ran on engine-1.', ran.output)
    case.assertRegex(ran.output, r'engine-2 +1\.5 +0 +cold')


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
async def test_timeline_merges_all_instances(case, line, instances):
    for instance, times in zip(instances, ((1, 4), (2, 3)), strict=True):
        instance.answers['timeline'] = {
            'instance': instance.name,
            'events': [_make_event(instance.name, time) for time in times],
        }
    ran = await line.wait('timeline', '--json', '--program=prg-1')
    names = [event['name'] for event in json.loads(ran.output)['events']]
    case.assertEqual([f'event-{time}' for time in (1, 2, 3, 4)], names)
    for form, start in (('html', '<!DOCTYPE'), ('trace', '{"traceEvents"')):
        file = line.folder.path / form
        ran = await line.wait(
            'timeline', f'--format={form}', f'--output={file}'
        )
        case.assertEqual((0, ''), (ran.status, ran.output))
        case.assertTrue(file.read_text().startswith(start))
    text = (await line.wait('timeline', '--instance=i-2')).output
    case.assertEqual(2, text.count('i-2'))
    case.assertNotIn('i-1', text)


@fixtures.on_real_loop
async def test_drain_asks_the_named_instance_only(case, line, instances):
    instances[1].answers['drain'] = {'state': 'draining'}
    ran = await line.wait('drain', 'i-2')
    case.assertEqual(0, ran.status)
    case.assertIn(('drain', {'instance': 'i-2'}), instances[1].asked)
    case.assertNotIn('drain', [name for name, _ in instances[0].asked])
    ran = await line.wait('drain', 'i-9')
    case.assertEqual(2, ran.status)
    case.assertIn('i-1, i-2', ran.errors)


@fixtures.on_real_loop
async def test_answer_of_another_shape_is_a_failure(case, line, instances):
    instances[0].answers['explain'] = {'surprise': 1}
    case.assertEqual(1, (await line.wait('explain', 'prg-1')).status)


@fixtures.on_real_loop
async def test_apply_waits_until_all_have_the_version(
    case, line, platform, instances
):
    for instance in instances:
        instance.version = 1
    ran = await line.wait('diff', line.folder.path)
    case.assertIn('+ agents.board: ', ran.output)
    # The instances report version 1 of a lost table: the next one is 2.
    ran = await line.wait('apply', line.folder.path, '--wait_timeout=0')
    case.assertIn('Accepted as version 2', ran.output)
    case.assertEqual(4, ran.status)
    case.assertIn('not in force on: i-1, i-2', ran.errors)
    instances[0].version = 2
    ran = await line.wait('apply', line.folder.path, '--wait_timeout=0')
    case.assertIn('Version 2 is the same.', ran.output)
    case.assertIn('not in force on: i-2', ran.errors)
    instances[1].version = 2
    ran = await line.wait('apply', line.folder.path, '--wait_timeout=0')
    case.assertEqual(0, ran.status)
    case.assertIn('in force everywhere', ran.output)


@fixtures.on_real_loop
async def test_broken_folders_change_nothing(case, line, platform, instances):
    """A half-written file stops the calls of a whole night.

    An operator applies a folder in which one value is wrong; what is in
    force must stay, and the store must not even be asked.
    """
    for one in (*broken.list_handwritten(), *broken.generate()):
        line.folder.write(broken.CHANGED_FILE, one.text)
        ran = await line.wait('apply', line.folder.path)
        where = f'{line.folder.path / one.file}:{one.line}:'
        case.assertEqual((2, ''), (ran.status, ran.output))
        case.assertRegex(ran.errors, f'(?m)^{where}[0-9]+: {one.id}')
    counters = platform.memory.table.counters
    case.assertEqual((0, 0), (counters.reads, counters.writes))
    case.assertEqual([], instances[0].asked)


@fixtures.on_real_loop
async def test_apply_on_another_base_names_the_winner(
    case, line, platform, instances
):
    words = ['apply', line.folder.path, '--nowait']
    case.assertEqual(0, (await line.wait(*words, '--author=ann')).status)
    line.folder.write('20.json', '{"policy": {"repeated_steps": 9}}')
    ran = await line.wait(*words, '--author=bob', '--base=0')
    case.assertEqual(3, ran.status)
    case.assertIn('ann was first with version 1', ran.errors)
    ran = await line.wait(*words, '--author=bob', '--base=1')
    case.assertEqual(0, ran.status)
    case.assertIn('~ policy.repeated_steps: 8 -> 9', ran.output)


@fixtures.on_real_loop
async def test_unreachable_store_gives_status_4(case, line):
    urls = ['--table=http://127.0.0.1:1', '--objects=http://127.0.0.1:1']
    words = ['diff', line.folder.path, '--store_timeout=0.1', *urls]
    case.assertEqual(4, (await line.wait(*words)).status)


load_tests = fixtures.adapt(__name__, [runs])
