"""Tests of the pace at which streams are read."""

import asyncio
import typing
from unittest import mock

import aiohttp
from aiohttp import base_protocol

from vanillayoke.core import timers
from vanillayoke.targets import pace
from vanillayoke.testing import fixtures

LONG = 60.0


class Stage(typing.NamedTuple):
    """A stream without a connection, and its pace."""

    clock: timers.TimerService
    content: aiohttp.StreamReader
    rhythm: pace.ReadPace


def make_stage() -> Stage:
    loop = asyncio.get_running_loop()
    clock = timers.LoopTimers(loop)
    protocol = mock.create_autospec(base_protocol.BaseProtocol, instance=True)
    content = aiohttp.StreamReader(protocol, 2**16, loop=loop)
    return Stage(clock, content, pace.ReadPace(clock, content))


async def measure_pause(stage) -> float:
    began = stage.clock.now()
    await stage.rhythm.pause()
    return stage.clock.now() - began


async def test_first_pieces_go_on_at_once(case):
    stage = make_stage()
    await stage.clock.sleep(pace.SHORTEST_PAUSE)
    case.assertEqual(0.0, await measure_pause(stage))


async def test_pauses_grow_up_to_a_bound(case):
    stage = make_stage()
    pauses = []
    for _ in range(3):
        await stage.clock.sleep(0.05)
        pauses.append(await measure_pause(stage))
    case.assertEqual(sorted(set(pauses)), pauses)
    await stage.clock.sleep(LONG)
    longest = await measure_pause(stage)
    case.assertAlmostEqual(pace.LONGEST_PAUSE, longest)


async def test_end_of_the_stream_cuts_a_pause_short(case):
    """Each turn of a program takes longer than its engine needs.

    The answer is complete, but its reader sleeps on until the pause that
    gathers tokens is over; a program of many turns adds that up.
    """
    stage = make_stage()
    await stage.clock.sleep(LONG)
    stage.clock.call_after(pace.LONGEST_PAUSE / 2, stage.content.feed_eof)
    pause = await measure_pause(stage)
    case.assertAlmostEqual(pace.LONGEST_PAUSE / 2, pause)
    case.assertEqual(0.0, await measure_pause(stage))


load_tests = fixtures.adapt(__name__)
