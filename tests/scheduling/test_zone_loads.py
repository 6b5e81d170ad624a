"""Tests of the merging of loads of zones."""

from vanillayoke.scheduling import zone_loads
from vanillayoke.testing import fixtures


def _load(service='models', slots=6, running=3.0, waiting=0.0):
    return zone_loads.ServiceLoad(
        service, slots, running, waiting, float(slots)
    )


def _report(zone, version, age_ms=0, **load):
    return zone_loads.ZoneReport(zone, version, age_ms, (_load(**load),))


def _get_running(table, now, zone='a'):
    load = table.get_loads('models', now).get(zone)
    return None if load is None else load.running


def test_sum_of_a_zone_covers_all_its_instances(case):
    reports = zone_loads.TargetReports()
    reports.put('i1', (1, 1), (_load(running=6.0, waiting=2.0),), 1.0)
    reports.put('i2', (1, 1), (_load(), _load('tools', 4, 1.0)), 1.5)
    report = reports.sum('a', (1, 1), 1.5)
    table = zone_loads.ZoneTable()
    table.merge(report, 2.0)
    load = table.get_loads('models', 2.0)['a']
    case.assertEqual((12, 9.0, 2.0, 12.0), load[:4])
    case.assertAlmostEqual(11 / 12, load.utilisation)
    case.assertEqual(4, table.get_loads('tools', 2.0)['a'].slots)
    case.assertEqual({}, table.get_loads('other', 2.0))
    # The reports were 0.5 and 0 s old at 1.5 s: a mean of 0.2 s by slots.
    case.assertAlmostEqual(1.8, load.measured_at, delta=0.06)


def test_targets_of_an_instance_that_ended_are_not_counted_twice(case):
    """Its successor reports the same targets at once."""
    reports = zone_loads.TargetReports()
    reports.put('i1', (1, 1), (_load(),), 1.0)
    reports.put('i2', (1, 1), (_load(),), 1.1)
    reports.retain({'i2'}, 1.2)
    case.assertEqual(6, reports.sum('a', (1, 1), 1.2).services[0].slots)


def test_reports_of_a_silent_instance_expire(case):
    reports = zone_loads.TargetReports()
    reports.put('i1', (1, 1), (_load(),), 1.0)
    reports.retain({'i1'}, 1.0 + zone_loads.MAX_AGE_SECONDS + 0.1)
    case.assertIsNone(reports.sum('a', (1, 1), 3.2))


def test_zone_whose_targets_are_all_unhealthy_is_infinitely_utilised(case):
    """Without slots the zone would look idle."""
    table = zone_loads.ZoneTable()
    table.merge(_report('a', (1, 1), slots=0, running=0.0), 0.0)
    utilisation = table.get_loads('models', 0.0)['a'].utilisation
    case.assertEqual(float('inf'), utilisation)


def test_late_and_repeated_datagrams_do_not_replace_newer_loads(case):
    table = zone_loads.ZoneTable()
    case.assertTrue(table.merge(_report('a', (5, 2), running=2.0), 1.0))
    case.assertFalse(table.merge(_report('a', (5, 1), running=1.0), 1.1))
    case.assertFalse(table.merge(_report('a', (5, 2), running=3.0), 1.1))
    case.assertEqual(2.0, _get_running(table, 1.1))


def test_versions_survive_a_change_of_coordinator(case):
    """The successor's counter starts anew; its epoch is higher."""
    table = zone_loads.ZoneTable()
    table.merge(_report('a', (5, 1000), running=1.0), 1.0)
    case.assertTrue(table.merge(_report('a', (6, 1), running=2.0), 1.2))
    case.assertFalse(table.merge(_report('a', (5, 1001), running=3.0), 1.3))
    case.assertEqual(2.0, _get_running(table, 1.3))


def test_coordinator_whose_clock_is_behind_is_accepted_after_the_age(case):
    """All its loads would be ignored for ever."""
    table = zone_loads.ZoneTable()
    table.merge(_report('a', (5, 1), running=1.0), 1.0)
    case.assertFalse(table.merge(_report('a', (4, 1), running=2.0), 2.9))
    case.assertTrue(table.merge(_report('a', (4, 2), running=2.0), 3.1))
    case.assertEqual(2.0, _get_running(table, 3.1))


def test_loads_age_on_every_hop(case):
    """Clocks of zones differ, so only ages are sent."""
    first, second = zone_loads.ZoneTable(), zone_loads.ZoneTable()
    first.merge(_report('a', (1, 1), age_ms=200), 1000.0)
    for report in first.list_reports(1000.4):
        second.merge(report, 5.0)
    load = second.get_loads('models', 5.0)['a']
    case.assertAlmostEqual(4.4, load.measured_at)


def test_old_loads_are_neither_returned_nor_forwarded(case):
    table = zone_loads.ZoneTable()
    table.merge(_report('a', (1, 1), age_ms=1500), 1.0)
    case.assertEqual(3.0, _get_running(table, 1.4))
    case.assertIsNone(_get_running(table, 1.6))
    case.assertEqual([], table.list_reports(1.6))
    case.assertFalse(table.merge(_report('b', (1, 1), age_ms=2001), 1.0))


def test_impossible_figures_are_ignored(case):
    """A wrong load would draw the programs of all zones."""
    table = zone_loads.ZoneTable()
    nan, infinity = float('nan'), float('inf')
    for report in (
        _report('a', (1, 1), age_ms=-1),
        _report('a', (-1, 1)),
        _report('a', (2**64 - 1, 1)),
        _report('', (1, 1)),
        _report('a' * 1000, (1, 1)),
        _report('a', (1, 1), service=''),
        _report('a', (1, 1), slots=-1),
        _report('a', (1, 1), slots=10**9),
        _report('a', (1, 1), running=-0.1),
        _report('a', (1, 1), running=nan),
        _report('a', (1, 1), waiting=infinity),
        zone_loads.ZoneReport('a', (1, 1), 0, (_load(), _load())),
    ):
        with case.subTest(report):
            case.assertFalse(table.merge(report, 1.0))
            used = zone_loads.TargetReports().put(
                report.zone, report.version, report.services, 1.0
            )
            case.assertEqual(report.age_ms < 0, used)


def test_state_is_bounded(case):
    """Names of zones and instances come from other instances."""
    table = zone_loads.ZoneTable()
    reports = zone_loads.TargetReports()
    for number in range(5000):
        table.merge(_report(f'z{number}', (1, 1)), 1.0)
        reports.put(f'i{number}', (1, 1), (_load(),), 1.0)
    count = len(table.list_reports(1.0))
    case.assertEqual(zone_loads.MAX_ZONES, count)
    slots = reports.sum('a', (1, 1), 1.0).services[0].slots
    case.assertEqual(6 * zone_loads.MAX_REPORTERS, slots)
    table.prune(20.0)
    case.assertTrue(table.merge(_report('new', (1, 1)), 20.0))


load_tests = fixtures.adapt(__name__)
