"""Tests of keeping the last places of engines for the more urgent turns."""

import heapq
import random

from vanillayoke.scheduling import outlook
from vanillayoke.scheduling import reserves
from vanillayoke.scheduling import urgency
from vanillayoke.testing import fixtures

SLOTS = 12
# A turn on an idle engine, and by how much each other request slows it down.
SERVICE = 0.2
SLOPE = 0.046
ASK_AGAIN = 0.02
AIM = 4.0


def _play(is_kept, seed, load=1.4, burst=6.0):
    """Return the share of turns that lose no more than they may.

    One engine admits in order of arrival. It gets turns over its capacity
    for a while; each may lose a time of its own, most little.
    """
    source = random.Random(seed)
    rate = load * SLOTS / (SERVICE * (1 + SLOPE * SLOTS))
    events, at, number = [], 0.0, 0
    while at < burst:
        at += source.expovariate(rate)
        slack = source.choice((0.1, 0.5, 1.0, 2.5))
        events.append((at, number, 'try', (at, slack)))
        number += 1
    heapq.heapify(events)
    running, waiting, good, count = 0, [], 0, number
    while events:
        now, _, kind, (came, slack) = heapq.heappop(events)
        if kind == 'end':
            running -= 1
        else:
            left = slack - (now - came)
            level = urgency.rank(outlook.Slack(left, left - AIM, AIM), 0)
            present = running + len(waiting)
            limit = reserves.find_limit(level, SLOTS)
            if is_kept and present >= limit and now - came < 1.6:
                number += 1
                again = now + ASK_AGAIN * source.uniform(0.5, 1.5)
                heapq.heappush(events, (again, number, 'try', (came, slack)))
                continue
            waiting.append((came, slack))
        while waiting and running < SLOTS:
            came, slack = waiting.pop(0)
            good += now - came <= slack
            running += 1
            number += 1
            end = now + SERVICE * (1 + SLOPE * running)
            heapq.heappush(events, (end, number, 'end', (0.0, 0.0)))
    return good / count


def test_more_turns_are_in_time_in_a_burst(case):
    """A burst of six seconds at 1.4 times an engine's capacity.

    In order of arrival all wait alike, and those with little to lose lose
    it. With places kept for these, those that can wait do.
    """
    for seed in range(4):
        in_order = _play(False, seed)
        kept = _play(True, seed)
        case.assertGreater(kept, in_order + 0.05, seed)


def test_nobody_waits_below_half_load(case):
    for seed in range(2):
        case.assertGreater(_play(True, seed, load=0.5), 0.995)


def test_more_urgent_turns_find_a_place_where_others_do_not(case):
    levels = (4, 5, 6, urgency.LATE, urgency.LEAST_URGENT)
    limits = [reserves.find_limit(level, SLOTS) for level in levels]
    case.assertEqual(sorted(limits, reverse=True), limits)
    case.assertEqual(len(set(limits)), len(limits))


def test_engine_of_one_slot_takes_every_level(case):
    for level in range(10):
        case.assertGreaterEqual(reserves.find_limit(level, 1), 1)


load_tests = fixtures.adapt(__name__)
