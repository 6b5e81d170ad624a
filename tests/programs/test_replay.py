"""Tests of replay and snapshots."""

from tests.programs import drivers
from vanillayoke.core import failures
from vanillayoke.core import ids
from vanillayoke.programs import caches
from vanillayoke.programs import records
from vanillayoke.programs import replay
from vanillayoke.programs import snapshots
from vanillayoke.testing import fixtures

_ORDER = records.ToolRequest('c1', 'order', '{}')


@fixtures.fixture
def driver():
    return drivers.Driver()


@fixtures.fixture
def root(driver):
    """A program with a finished run, a sub-agent and a running order."""
    root = driver.open()
    driver.run(root, 'r1', run='r1', tools=[_ORDER])
    driver.run(root, 's1', 'order', run='r1', tool_call_id='c1')
    driver.run(root, 's2', run='r1', messages=())
    child = driver.open('child', parent=root)
    driver.run(child, 'm1')
    driver.accept(child, 'm2')
    driver.fail(child, failures.Failure(failures.Kind.OVERLOADED, 'full'))
    driver.accept(child, 'order', 'order', idempotent=False)
    driver.intend(child)
    return root


def test_replay_restores_the_live_state(case, driver, root):
    replayed = replay.replay(driver.segments, drivers.ALL_SHARDS)
    case.assertEqual(driver.programs, replayed)
    roles = [message.role for message in replayed[root.id].history()]
    case.assertEqual(['user', 'assistant', 'tool', 'assistant'], roles)


def test_segments_survive_encoding(case, driver, root):
    driver.apply([snapshots.take_snapshot(root, 1)])
    blobs = [records.encode_segment(segment) for segment in driver.segments]
    decoded = [records.decode_segment(blob) for blob in blobs]
    case.assertEqual(
        driver.programs, replay.replay(decoded, drivers.ALL_SHARDS)
    )


def test_snapshot_restores_an_equal_program(case, driver, root):
    for program in driver.programs.values():
        record = snapshots.take_snapshot(program, program.epoch)
        case.assertEqual(program, snapshots.restore_snapshot(record))


def test_replay_from_a_snapshot_needs_no_earlier_segments(case, driver, root):
    snapshot_records = [
        snapshots.take_snapshot(program, 1)
        for program in driver.programs.values()
    ]
    driver.apply(snapshot_records)
    driver.run(root, 'more')
    tail = driver.segments[-4:]
    case.assertEqual(driver.programs, replay.replay(tail, drivers.ALL_SHARDS))


def test_replay_ignores_other_shards(case, driver, root):
    other = driver.open('another', client='shiretoko')
    shard = ids.find_shard(other.id)
    case.assertNotEqual(shard, ids.find_shard(root.id))
    replayed = replay.replay(driver.segments, frozenset((shard,)))
    case.assertEqual({other.id: other}, replayed)


def test_duplicate_segments_have_no_effect(case, driver, root):
    """A segment may be written twice, for example after a lost reply.

    A duplicate release after a later hold would leak the engine's cache.
    """
    released = len(driver.segments)
    driver.apply(caches.release_cache(root, 't1', 1))
    driver.apply(caches.hold_cache(root, 't1', 1))
    for duplicates in (driver.segments, driver.segments[released:][:1]):
        segments = driver.segments + duplicates
        replayed = replay.replay(segments, drivers.ALL_SHARDS)
        case.assertEqual(driver.programs, replayed)


def test_duplicate_records_have_no_effect(case, driver, root):
    expected = replay.replay(driver.segments, drivers.ALL_SHARDS)
    for segment in driver.segments:
        for record in segment.records:
            had_effect = replay.apply_record(driver.programs, record)
            case.assertFalse(had_effect, record)
    case.assertEqual(expected, driver.programs)


def test_older_snapshot_does_not_revert_the_history(case, driver, root):
    """A snapshot may be applied again after later records.

    This happens if its segment was written twice under two numbers.
    """
    early = snapshots.take_snapshot(root, 1)
    driver.run(root, 'later')
    history = root.history()
    driver.apply([early])
    case.assertEqual(history, driver.programs[root.id].history())


def test_records_of_unknown_programs_are_skipped(case, driver, root):
    tail = driver.segments[1:4]
    case.assertEqual({}, replay.replay(tail, drivers.ALL_SHARDS))


def test_records_of_a_former_owner_have_no_effect(case, driver, root):
    """An instance paused past its lease may still write a segment.

    Its successor has already recorded another outcome for the same call.
    """
    child = driver.programs[ids.derive_child_id(root.id, 'child')]
    stale = drivers.Driver()
    stale.programs = driver.programs
    late = stale.answer(child)
    driver.segments = driver.segments[:]
    driver.take_over()
    driver.apply(late)
    recovered = driver.programs[child.id]
    case.assertEqual('outcome_unknown', recovered.calls[-1].error)
    replayed = replay.replay(driver.segments, drivers.ALL_SHARDS)
    case.assertEqual(driver.programs, replayed)


load_tests = fixtures.adapt(__name__)
