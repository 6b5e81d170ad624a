"""What all handlers of one application share."""

import typing

from aiohttp import web

from vanillayoke.core import failures
from vanillayoke.core import timers as core_timers
from vanillayoke.entry import forwarding
from vanillayoke.entry import host as entry_host
from vanillayoke.entry import inflight
from vanillayoke.settings import process

HEARTBEAT_INTERVAL = 3.0
DRAINING = failures.Failure(
    failures.Kind.DRAINING, 'another instance takes it', 1.0
)


class DrainState:
    """Whether the instance is stopping."""

    def __init__(self) -> None:
        self.is_draining = False


class Context(typing.NamedTuple):
    """The parts that handlers work with; ``heartbeat`` is in seconds."""

    host: entry_host.Host
    settings: process.EntrySettings
    timers: core_timers.TimerService
    forwarder: forwarding.Forwarder
    requests: inflight.Requests
    drain: DrainState
    heartbeat: float


KEY = web.AppKey('context', Context)
CLIENT = web.RequestKey('client', str)
PROGRESS = web.RequestKey('progress', core_timers.Subscription)


def find(request: web.Request) -> Context:
    """Return the context of a request's application."""
    return request.app[KEY]
