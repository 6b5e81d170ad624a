"""Run the fault matrix and print it as a table."""

import concurrent.futures
import random
import time
import typing

from absl import app
from absl import flags

from vanillayoke.harness.matrix import cells
from vanillayoke.harness.matrix import faults
from vanillayoke.harness.matrix import steps

_STEP = flags.DEFINE_string('step', '', 'Run only this row.')
_FAULT = flags.DEFINE_string('fault', '', 'Run only this column.')
_PAIRS = flags.DEFINE_integer('pairs', 0, 'Pairs of faults to draw.')
_SEED = flags.DEFINE_integer('seed', cells.SEED, 'Seed of all randomness.')
_JOBS = flags.DEFINE_integer('jobs', 4, 'Processes to run cells in.')


class Cell(typing.NamedTuple):
    """Names of a row and of the columns that strike together."""

    step: str
    faults: tuple[str, ...]
    seed: int


def list_cells(step: str, fault: str, seed: int) -> list[Cell]:
    """Return all cells of the matrix, or one row or column of it."""
    return [
        Cell(row.name, (column.name,), seed)
        for row in steps.list_steps()
        for column in faults.list_faults()
        if step in ('', row.name) and fault in ('', column.name)
    ]


def draw_pairs(count: int, seed: int) -> list[Cell]:
    """Return cells in which two faults strike together."""
    source = random.Random(seed)
    rows = [row.name for row in steps.list_steps()]
    columns = [column.name for column in faults.list_faults()]
    return [
        Cell(source.choice(rows), tuple(source.sample(columns, 2)), seed)
        for _ in range(count)
    ]


def run(cell: Cell) -> cells.Result:
    """Run one cell by its names."""
    rows = {row.name: row for row in steps.list_steps()}
    columns = {column.name: column for column in faults.list_faults()}
    struck_by = [columns[name] for name in cell.faults]
    return cells.run_cell(rows[cell.step], struck_by, cell.seed)


def describe(result: cells.Result) -> str:
    """Return a result for people."""
    state = 'held' if not result.broken else 'BROKEN'
    if not result.struck:
        state = 'NOT MET'
    lines = [f'{state:8} {result.step:34} {result.fault}']
    lines += [f'         - {found}' for found in result.broken]
    return '\n'.join(lines)


def main(argv: typing.Sequence[str]) -> int:
    """Run all cells; return 1 where one is broken."""
    planned = list_cells(_STEP.value, _FAULT.value, _SEED.value)
    planned += draw_pairs(_PAIRS.value, _SEED.value)
    began = time.monotonic()
    bad = 0
    with concurrent.futures.ProcessPoolExecutor(_JOBS.value) as pool:
        for result in pool.map(run, planned):
            bad += bool(result.broken) or not result.struck
            print(describe(result), flush=True)
    seconds = time.monotonic() - began
    print(f'{len(planned)} cells, {bad} not held, {seconds:.0f} s')
    return 1 if bad else 0


if __name__ == '__main__':
    app.run(main)
