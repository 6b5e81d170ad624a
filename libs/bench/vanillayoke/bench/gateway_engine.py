"""A stand-in engine with a batch and step of the bench's choice.

``python -m vanillayoke.bench.gateway_engine --name=NAME`` prints its address
as one line of JSON.
"""

from absl import flags
from aiohttp import web

from vanillayoke.core import timers
from vanillayoke.fakes import engine_http
from vanillayoke.fakes import engine_memory
from vanillayoke.fakes import engine_model
from vanillayoke.fakes import server

_SLOTS = flags.DEFINE_integer('slots', 256, 'Calls that run at a time.')
_STEP = flags.DEFINE_float('step', 0.002, 'Seconds between two tokens.')


def _build(name: str, clock: timers.TimerService) -> web.Application:
    options = engine_model.EngineOptions(
        slots=_SLOTS.value, step=_STEP.value, cache_tokens=100_000_000
    )
    engine = engine_memory.EngineMemory(name, clock, options)
    return engine_http.EngineServer(engine).build()


if __name__ == '__main__':
    server.run(_build)
