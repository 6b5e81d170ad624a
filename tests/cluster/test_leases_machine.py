"""Lease safety under any delays, any pauses and clocks that differ."""

import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from vanillayoke.cluster import leases
from vanillayoke.settings import process
from vanillayoke.testing import fixtures

_SETTINGS = process.LeaseSettings()
_STEPS = (0.01, 0.3, 1.0, 1.9, 2.9, 5.4, 6.4, 20.0)
_LONGEST_WAIT = 8.0
# Clocks run alike to within one percent.
_RATES = strategies.sampled_from((0.99, 0.997, 1.0, 1.004, 1.01))


class Renewal(typing.NamedTuple):
    """A renewal on its way; ``sent_at`` is by the holder's clock."""

    sent_at: float
    expected: int


class Fence(typing.NamedTuple):
    """A fence on its way, with the version that it expects."""

    expected: int


class LeaseMachine(stateful.RuleBasedStateMachine):
    """A holder, a watcher and a row that both write on condition.

    Requests land and replies arrive whenever the rules say: so a pause of
    either side, or a slow store, is a step of the clock between them.
    """

    @stateful.initialize(holder_rate=_RATES, watcher_rate=_RATES)
    def begin(self, holder_rate: float, watcher_rate: float) -> None:
        self.time = 1000.0
        self.holder_rate = holder_rate
        self.watcher_rate = watcher_rate
        self.version = 1
        self.fenced = False
        self.holder = leases.LeaseHolder.from_config(_SETTINGS)
        self.holder.renew(self.holder_now)
        self.known_version = 1
        self.watch = leases.LeaseWatch.from_config(_SETTINGS)
        self.renewal: Renewal | None = None
        self.renewal_reply: tuple[float, int] | None = None
        self.read_reply: int | None = None
        self.fence: Fence | None = None

    @property
    def holder_now(self) -> float:
        return self.time * self.holder_rate

    @property
    def watcher_now(self) -> float:
        return self.time * self.watcher_rate

    @stateful.rule(step=strategies.sampled_from(_STEPS))
    def pass_time(self, step: float) -> None:
        self.time += step

    @stateful.precondition(lambda self: self.renewal is None)
    @stateful.rule()
    def send_renewal(self) -> None:
        self.renewal = Renewal(self.holder_now, self.known_version)

    @stateful.precondition(lambda self: self.renewal is not None)
    @stateful.rule()
    def land_renewal(self) -> None:
        if not self.fenced and self.renewal.expected == self.version:
            self.version += 1
            self.renewal_reply = (self.renewal.sent_at, self.version)
        self.renewal = None

    @stateful.precondition(lambda self: self.renewal_reply is not None)
    @stateful.rule()
    def receive_renewal(self) -> None:
        sent_at, self.known_version = self.renewal_reply
        self.holder.renew(sent_at)
        self.renewal_reply = None

    @stateful.precondition(lambda self: not self.fenced)
    @stateful.rule()
    def land_read(self) -> None:
        self.read_reply = self.version

    @stateful.precondition(lambda self: self.read_reply is not None)
    @stateful.rule()
    def receive_read(self) -> None:
        self.watch.observe(self.read_reply, self.watcher_now)
        if self.watch.is_expired(self.watcher_now):
            self.fence = Fence(self.read_reply)
        self.read_reply = None

    @stateful.precondition(lambda self: not self.fenced)
    @stateful.rule(step=strategies.sampled_from((0.05, 0.25, 1.0)))
    def poll_until_expired(self, step: float) -> None:
        """Poll as a healthy watcher does while the holder is silent."""
        for _ in range(int(_LONGEST_WAIT / step)):
            self.land_read()
            self.receive_read()
            if self.fence is not None:
                self.land_fence()
                break
            self.time += step

    @stateful.precondition(lambda self: self.fence is not None)
    @stateful.rule()
    def land_fence(self) -> None:
        if self.fence.expected == self.version and not self.fenced:
            self.fenced = True
            self.version += 1
        self.fence = None

    @stateful.invariant()
    def check_one_holder(self) -> None:
        if getattr(self, 'fenced', False):
            assert not self.holder.may_act(self.holder_now)


LeaseMachine.TestCase.settings = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
)
TestLeaseMachine = LeaseMachine.TestCase

load_tests = fixtures.adapt(__name__)
