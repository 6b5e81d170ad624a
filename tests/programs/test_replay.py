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
def lived(driver):
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


def test_replay_gives_the_live_state(case, driver, lived):
    replayed = replay.replay(driver.segments, drivers.ALL_SHARDS)
    case.assertEqual(driver.known, replayed)
    roles = [one.role for one in replayed[lived.id].history()]
    case.assertEqual(['user', 'assistant', 'tool', 'assistant'], roles)


def test_segments_survive_encoding(case, driver, lived):
    driver.take([snapshots.take_snapshot(lived, 1)])
    blobs = [records.encode_segment(one) for one in driver.segments]
    decoded = [records.decode_segment(blob) for blob in blobs]
    case.assertEqual(driver.known, replay.replay(decoded, drivers.ALL_SHARDS))


def test_snapshot_gives_an_equal_program(case, driver, lived):
    for program in driver.known.values():
        record = snapshots.take_snapshot(program, program.epoch)
        case.assertEqual(program, snapshots.restore_snapshot(record))


def test_replay_from_a_snapshot_needs_nothing_before_it(case, driver, lived):
    taken = [snapshots.take_snapshot(one, 1) for one in driver.known.values()]
    driver.take(taken)
    driver.run(lived, 'more')
    tail = driver.segments[-4:]
    case.assertEqual(driver.known, replay.replay(tail, drivers.ALL_SHARDS))


def test_replay_keeps_to_its_shards(case, driver, lived):
    other = driver.open('another', client='shiretoko')
    shard = ids.find_shard(other.id)
    case.assertNotEqual(shard, ids.find_shard(lived.id))
    replayed = replay.replay(driver.segments, frozenset((shard,)))
    case.assertEqual({other.id: other}, replayed)


def test_repeated_segments_change_nothing(case, driver, lived):
    """An engine's memory stays full of a program that has ended.

    The reply to a segment's write is lost and the writer puts it again.
    The taker reads the second copy's release behind a later hold, and
    nobody releases that.
    """
    released = len(driver.segments)
    driver.take(caches.release_cache(lived, 't1', 1))
    driver.take(caches.hold_cache(lived, 't1', 1))
    for again in (driver.segments, driver.segments[released:][:1]):
        segments = driver.segments + again
        replayed = replay.replay(segments, drivers.ALL_SHARDS)
        case.assertEqual(driver.known, replayed)


def test_repeated_records_change_nothing(case, driver, lived):
    before = replay.replay(driver.segments, drivers.ALL_SHARDS)
    for segment in driver.segments:
        for record in segment.records:
            effect = replay.apply_record(driver.known, record)
            case.assertFalse(effect, record)
    case.assertEqual(before, driver.known)


def test_an_older_snapshot_does_not_take_history_back(case, driver, lived):
    """A program forgets its last turns.

    A snapshot that was taken earlier is applied again behind later
    records, since its segment was put twice under two numbers.
    """
    early = snapshots.take_snapshot(lived, 1)
    driver.run(lived, 'later')
    before = lived.history()
    driver.take([early])
    case.assertEqual(before, driver.known[lived.id].history())


def test_records_of_unknown_programs_are_passed_over(case, driver, lived):
    tail = driver.segments[1:4]
    case.assertEqual({}, replay.replay(tail, drivers.ALL_SHARDS))


def test_records_of_a_former_holder_change_nothing(case, driver, lived):
    """A bookkeeper sees an order answered that the system calls unknown.

    An instance is paused past its lease with an order on its way. Its
    successor fails the order as unknown; then the paused one wakes up and
    its last segment comes out behind the successor's.
    """
    child = driver.known[ids.derive_child_id(lived.id, 'child')]
    stale = drivers.Driver()
    stale.known = driver.known
    late = stale.answer(child)
    driver.segments = driver.segments[:]
    driver.take_over()
    driver.take(late)
    recovered = driver.known[child.id]
    case.assertEqual('outcome_unknown', recovered.calls[-1].error)
    replayed = replay.replay(driver.segments, drivers.ALL_SHARDS)
    case.assertEqual(driver.known, replayed)


load_tests = fixtures.adapt(__name__)
