"""Tests of the holder's and the watcher's view of a lease."""

from vanillayoke.cluster import leases
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_SETTINGS = process.LeaseSettings(time_to_live=6.0, margin=0.5)


@fixtures.fixture
def holder():
    return leases.LeaseHolder.from_config(_SETTINGS)


@fixtures.fixture
def watch():
    return leases.LeaseWatch.from_config(_SETTINGS)


def _poll(watch, version, begin, end):
    now = begin
    while now <= end:
        watch.observe(version, now)
        now += 1.0


def test_holder_may_not_act_before_its_first_renewal(case, holder):
    case.assertFalse(holder.may_act(0.0))


def test_lease_counts_from_before_the_renewal_was_sent(case, holder):
    """Two instances act at once, since a renewal's reply took seconds.

    The store wrote the renewal at once, the watcher counts from there; a
    holder that counted from the reply would act on when the watcher ends.
    """
    holder.renew(100.0)
    case.assertTrue(holder.may_act(105.4))
    case.assertFalse(holder.may_act(105.5))


def test_late_reply_of_an_earlier_renewal_shortens_nothing(case, holder):
    holder.renew(102.0)
    holder.renew(100.0)
    case.assertTrue(holder.may_act(107.4))


def test_lost_lease_does_not_come_back(case, holder):
    holder.renew(100.0)
    holder.lose()
    holder.renew(101.0)
    case.assertFalse(holder.may_act(101.0))


def test_lease_expires_after_a_whole_life_without_a_change(case, watch):
    _poll(watch, 7, 100.0, 106.0)
    case.assertFalse(watch.is_expired(106.0))
    watch.observe(7, 106.5)
    case.assertTrue(watch.is_expired(106.5))


def test_renewal_starts_the_watch_anew(case, watch):
    _poll(watch, 7, 100.0, 106.0)
    watch.observe(8, 106.4)
    case.assertFalse(watch.is_expired(107.0))


def test_gap_in_reads_starts_the_watch_anew(case, watch):
    """A live holder is fenced right after the store was down for all.

    The watcher could not read for a while, and the holder could not renew.
    The first read behind the gap shows the old version; counting on from
    before it would expire a lease that nobody could have renewed.
    """
    _poll(watch, 7, 100.0, 102.0)
    watch.observe(7, 110.0)
    case.assertFalse(watch.is_expired(110.0))
    _poll(watch, 7, 111.0, 116.0)
    case.assertFalse(watch.is_expired(116.4))
    case.assertTrue(watch.is_expired(116.5))


def test_paused_watcher_does_not_judge_by_an_old_read(case, watch):
    _poll(watch, 7, 100.0, 105.0)
    case.assertFalse(watch.is_expired(110.0))


def test_watcher_judges_only_while_its_own_renewals_get_through(case):
    """Reads still work while all writes fail: nobody can renew.

    The watcher's own renewals tell it so. It neither judges in the outage
    nor right behind it.
    """
    evidence = leases.StoreEvidence.from_config(_SETTINGS)
    case.assertFalse(evidence.may_judge(100.0))
    evidence.note_renewal(100.0)
    case.assertFalse(evidence.note_renewal(102.0))
    case.assertTrue(evidence.may_judge(104.9))
    case.assertFalse(evidence.may_judge(105.1))
    case.assertTrue(evidence.note_renewal(106.0))


load_tests = fixtures.adapt(__name__)
