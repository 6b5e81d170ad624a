"""What instances ask and tell one another, by datagrams."""

import msgspec

from vanillayoke.scheduling import program_slack
from vanillayoke.scheduling import quotas


class Reserve(msgspec.Struct, frozen=True, array_like=True, tag='R'):
    """Reserve the most that a turn may generate from its program's budget.

    ``time_left`` is the program's, in seconds. ``may_owe`` allows credit
    while the store does not answer. A turn that has to be kept gets none: it
    can't go on without the store, and what it got would be lost with its home
    where all instances end together.
    """

    program: str
    budget: int
    turn: str
    need: int
    session: str = ''
    route: str = ''
    time_left: float | None = None
    allow_credit: bool = False


class Settle(msgspec.Struct, frozen=True, array_like=True, tag='S'):
    """A turn is over and generated ``used`` tokens.

    ``lost`` is the time in seconds that it took over the usual, ``target``
    where it ended whole: its prompt and answer are in the memory there.
    """

    program: str
    turn: str
    used: int
    session: str = ''
    delay: float = 0.0
    target: str | None = None


class Transfer(msgspec.Struct, frozen=True, array_like=True, tag='T'):
    """Take over tokens that the sender was granted and gives up."""

    program: str
    tokens: int


class HandOver(msgspec.Struct, frozen=True, array_like=True, tag='H'):
    """Give up what is free for a program that the asker now keeps.

    ``asker`` is the instance that asks.
    """

    program: str
    requester: str = ''


class LoadQuery(msgspec.Struct, frozen=True, array_like=True, tag='C'):
    """How many requests does a target have?"""

    target: str


class LoadResponse(msgspec.Struct, frozen=True, array_like=True, tag='N'):
    """About how many requests a target has, and how slow it is."""

    requests: float
    latency_ratio: float


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """Requests of one program that were admitted a while ago.

    ``age`` is in milliseconds. The count is negative where they did not run.
    """

    age_ms: int
    program: str
    route: str
    count: int


class UsageReport(msgspec.Struct, frozen=True, array_like=True, tag='L'):
    """What a process has used of an organisation's limit.

    ``reporter`` names the process, apart from others of the same instance.
    ``limit`` is as of a version of the configuration.
    ``is_whole`` tells all of the window anew, ``is_moved`` that another
    instance was told before, and ``asked`` is the program and route of a
    request that waits to be admitted.
    """

    organisation: str
    reporter: str
    limit: quotas.Limit
    version: int
    records: tuple[UsageRecord, ...] = ()
    is_full: bool = False
    is_reassigned: bool = False
    pending: tuple[str, str] | None = None


class LimitStatus(msgspec.Struct, frozen=True, array_like=True, tag='A'):
    """How an organisation stands to its limit.

    ``is_close`` means that each request has to be asked for. ``refused`` is
    why the one asked for was not admitted, and ``pause`` when to try again.
    ``is_new`` says that its program has not begun.
    """

    is_near_limit: bool
    refusal_reason: str | None = None
    retry_after: float = 0.0
    is_new_program: bool = False


class RequestStarted(msgspec.Struct, frozen=True, array_like=True, tag='B'):
    """A request goes to a target, for ``longest`` seconds at the most."""

    target: str
    request: str
    max_duration: float


class RequestEnded(msgspec.Struct, frozen=True, array_like=True, tag='E'):
    """A request has ended at a target, which said that it had so many.

    ``pace`` is the time taken against what such requests usually take.
    """

    target: str
    request: str
    reported_count: int | None
    latency_ratio: float | None


class HandedOver(msgspec.Struct, frozen=True, array_like=True, tag='D'):
    """The tokens given up; they are the asker's now.

    ``receivers`` are instances that got what the answering one had before.
    """

    tokens: int
    receivers: tuple[str, ...] = ()


class Granted(msgspec.Struct, frozen=True, array_like=True, tag='G'):
    """A reservation or a settlement is done.

    ``slack`` is what is left to the program, ``target`` what has most of the
    prompt in its memory, where these are known.
    """

    slack: program_slack.Slack | None = None
    target: str | None = None


class BudgetExhausted(msgspec.Struct, frozen=True, array_like=True, tag='X'):
    """The budget does not hold the turn."""


class Pending(msgspec.Struct, frozen=True, array_like=True, tag='P'):
    """The store has to be asked first; the answer follows."""


class Unavailable(msgspec.Struct, frozen=True, array_like=True, tag='U'):
    """The store could not be asked, or the instance is stopping."""

    is_store_unavailable: bool


class ConfigurationVersion(msgspec.Struct, frozen=True, array_like=True):
    """The newest version of the configuration that the sender knows.

    ``address`` is the sender's, ``relay`` where it passes calls on to the
    store.
    """

    version: int
    address: str
    relay: str


Request = Reserve | Settle | Transfer | HandOver | LoadQuery | UsageReport
Response = (
    Granted
    | BudgetExhausted
    | Pending
    | Unavailable
    | HandedOver
    | LoadResponse
    | LimitStatus
)
# Told without an answer; one that is lost does no lasting harm.
Notification = RequestStarted | RequestEnded
