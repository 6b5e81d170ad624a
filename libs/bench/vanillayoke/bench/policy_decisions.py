"""CPU time of one decision with few and with many targets."""

import random
import time

from vanillayoke.bench import report
from vanillayoke.scheduling import calls
from vanillayoke.scheduling import scheduler
from vanillayoke.settings import configuration

COUNTS = (5, 50, 1700)
_ROUNDS = 4000
_SLOPE_BOUND = 3.0
_MICROSECONDS = 1e6


def measure(seed: int) -> list[report.Figure]:
    """Measure a whole call: submit, decide, finish, decide.

    The times are this machine's; the bound is on their ratio. A tenth of
    the calls begins a program, a report comes every ten calls.
    """
    figures = []
    first = None
    for count in COUNTS:
        seconds = min(_time_calls(count, seed + n) for n in range(3))
        cost = seconds * _MICROSECONDS
        first = first or cost
        bench = f'decision/{count}'
        bound = None if count == COUNTS[0] else _SLOPE_BOUND
        figures.append(
            report.Figure(bench, 'cpu_microseconds', cost, first, bound)
        )
    return figures


def _time_calls(count: int, seed: int) -> float:
    source = random.Random(seed)
    made = scheduler.Scheduler.from_config(
        configuration.PolicySettings(), 'a', 'r', source
    )
    made.set_instances(12)
    specs = [
        calls.TargetSpec(
            f'engine-{number}', 'engine', '', 'abc'[number % 3], 'r',
            200_000, 16,
        )
        for number in range(count)
    ]  # fmt: skip
    made.set_targets(specs)
    begin = time.process_time()
    for number in range(_ROUNDS):
        _run_call(made, specs, number)
    return (time.process_time() - begin) / _ROUNDS


def _run_call(
    made: scheduler.Scheduler, specs: list[calls.TargetSpec], number: int
) -> None:
    now = number * 0.01
    program = f'prg-{number // 10}'
    turn = number % 10
    if turn == 0:
        spec = specs[number // 10 % len(specs)]
        made.observe_report(
            calls.TargetReport(
                spec.target, now, 4, 0, 20_000, 200_000,
                frozenset({('m', '1')}), 'any', False,
            )
        )  # fmt: skip
    call = f'{program}/{turn}'
    made.submit(
        calls.CallDemand(
            call, program, program, 'client', 'm', '1', '',
            400 * turn, 250, 150, 0.1 * turn, False, True, now, now + 60,
        ),
        now,
    )  # fmt: skip
    for decision in made.decide(now):
        match decision:
            case calls.Placement(call, target):
                outcome = calls.Outcome(
                    call, target, 'answered', 0.1, 400 * turn + 250, 0, 150
                )
                made.finish(outcome, now)
            case calls.CacheRelease(target, ended):
                made.release_confirmed(target, ended)
    if turn == 9:
        made.end(program, now)
    made.decide(now)
