"""Decides whether responses that ended with their connection are complete.

A response with neither a length nor chunks ends when its connection does. The
connections of a process that ends close in the same way, so the end of such a
response counts only if nothing shows that the process has ended, too.

A response on a connection that was opened before, or a target that gives its
own name, shows that the process runs. A new connection alone shows nothing, as
another process may listen at the address. A target that has announced its end
may accept no connections while it completes its responses.

A check begins when the connection ends: a caller may read the response later.
"""

import asyncio
import enum
import http
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import dialect as dialect_module
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import process_states
from vanillayoke.transport import client
from vanillayoke.transport import pools

# Added to the latency of a response if its target does not answer a check, for
# an older connection and for a new one.
OLDER_TIMEOUT_SECONDS = 0.1
CHECK_TIMEOUT_SECONDS = 0.25
# The end of a process arrives at all of its connections within this time.
SETTLING_SECONDS = 0.02
# While bytes wait to be read, it may take this many times as long.
MAX_SETTLING_COUNT = 5
# Left for the response after a check that has not ended by then.
DEADLINE_MARGIN_SECONDS = 0.05
# Connections that closed this long before the end of a response may have been
# closed by the end of the same process. Targets also close idle ones.
BROKEN_BEFORE_SECONDS = 0.05
# Those closed in this time certainly were.
BROKEN_TOGETHER_SECONDS = 0.01
# Of those opened before, and of new ones.
MAX_CHECKED_CONNECTIONS = 2


class Evidence(enum.Enum):
    """What shows the state of a target's process."""

    # The target's row.
    ROW = 'row'
    # A response on an older connection; it is still open, or other responses
    # arrive on one.
    RESPONSE = 'response'
    OPEN_CONNECTION = 'open_connection'
    # The name that the process at the address has, or its refusal.
    NAME = 'name'
    REFUSAL = 'refusal'
    # Other connections broke off at the same time.
    BROKEN_CONNECTIONS = 'broken_connections'
    NONE = 'none'


class Finding(typing.NamedTuple):
    """The state of a target's process, and what shows it."""

    state: process_states.State
    evidence: Evidence


class EndedResponse(typing.NamedTuple):
    """A response that ended with its connection.

    ``ended_at`` is in seconds on the clock of the event loop, ``deadline`` on
    that of the instance.
    """

    request: str
    target: messages.Target
    ended_at: float
    deadline: float


class ProcessEndedError(client.ConnectionLost):
    """The end of a target's process has cut a response short."""

    def __init__(self, state: process_states.State) -> None:
        super().__init__(
            f'the response has no length and its process has {state.value}'
        )
        self.state = state


class _Check(typing.NamedTuple):
    """A check under way; ``started_at`` is on the event loop's clock."""

    started_at: float
    task: asyncio.Task[Finding]


class _Reply(enum.Enum):
    """How a process has replied to a check."""

    ANSWERED = enum.auto()
    SILENT = enum.auto()
    BROKEN = enum.auto()


_UNKNOWN = Finding(process_states.State.UNKNOWN, Evidence.NONE)
_CLOSED_WITH_OTHERS = Finding(
    process_states.State.ENDED, Evidence.BROKEN_CONNECTIONS
)
# A connection broke off as it was used: its process has ended, or had dropped
# it while it was idle.
_DROPPED = Finding(process_states.State.UNKNOWN, Evidence.BROKEN_CONNECTIONS)
# No reply arrived: the process is slow, or the connection has gone silent for
# good, which new ones need not be.
_SILENT = Finding(process_states.State.UNKNOWN, Evidence.OPEN_CONNECTION)


class ResponseEnds:
    """Checks targets after responses that ended with their connection.

    ``drain_timeout`` is how long a target serves after it has announced its
    end, in seconds.
    """

    def __init__(
        self,
        pool: pools.Pool,
        catalog: catalog_module.Catalog,
        dialect: dialect_module.Dialect,
        timer_service: timers.TimerService,
        drain_timeout: float,
        spawn: typing.Callable[[typing.Coroutine], None],
        log: logs.Logger,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._pool = pool
        self._catalog = catalog
        self._dialect = dialect
        self._timers = timer_service
        self._drain_timeout = drain_timeout
        self._spawn = spawn
        self._log = log
        self._metrics = metrics
        # Checks under way, by process: many responses may end at a time.
        self._checks: dict[tuple[str, str, int], _Check] = {}

    def prepare(self, address: str, connection: client.Connection) -> None:
        """Have a second connection to the process of an unframed response.

        It is opened while the first one shows that the process runs.
        """
        if connection.is_closed:
            return
        self._spawn(self._pool.ensure_second(address))

    def begin(self, ended: EndedResponse) -> asyncio.Task[None]:
        """Start to check the end of a response.

        The task raises ``ProcessEndedError`` if the process has ended, too.
        """
        task = asyncio.get_running_loop().create_task(self._confirm(ended))
        # The caller may have left.
        task.add_done_callback(_retrieve_exception)
        return task

    async def _confirm(self, ended: EndedResponse) -> None:
        target = ended.target
        started_at = self._timers.now()
        left = ended.deadline - DEADLINE_MARGIN_SECONDS - started_at
        try:
            async with asyncio.timeout(left):
                finding = await self._find_state(ended)
        except TimeoutError:
            finding = _UNKNOWN
        is_complete = not finding.state.has_crashed
        self._metrics.checked_ends.add(1, state=finding.state.value)
        self._log.write(
            log_events.RESPONSE_END_CHECKED,
            request=ended.request,
            target=target.name,
            address=target.address,
            started=target.started,
            state=finding.state.value,
            evidence=finding.evidence.value,
            complete=is_complete,
            ms=round(1000 * (self._timers.now() - started_at), 1),
        )
        if not is_complete:
            raise ProcessEndedError(finding.state)

    async def _find_state(self, ended: EndedResponse) -> Finding:
        """Return the state of the process after the end of the response.

        Responses that ended before a check began share its result.
        """
        target = ended.target
        process = target.address, target.name, target.started
        while (check := self._checks.get(process)) is not None:
            if check.started_at >= ended.ended_at:
                return await asyncio.shield(check.task)
            await asyncio.wait((check.task,))
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._check(ended))
        self._checks[process] = _Check(loop.time(), task)
        task.add_done_callback(lambda _: self._checks.pop(process))
        task.add_done_callback(_retrieve_exception)
        return await asyncio.shield(task)

    async def _check(self, ended: EndedResponse) -> Finding:
        """Find out the state of the process, from the surest evidence on."""
        target = ended.target
        older = await self._check_older_connections(ended)
        if older.state is not process_states.State.UNKNOWN:
            return older
        if self._has_restarted(target):
            return Finding(process_states.State.RESTARTED, Evidence.ROW)
        have_closed = self._has_broken(ended, BROKEN_TOGETHER_SECONDS)
        if await self._has_other_responses(ended):
            return Finding(
                process_states.State.RUNNING, Evidence.OPEN_CONNECTION
            )
        if have_closed:
            # A process that is back at once may have the same name, so a new
            # connection would not tell.
            return _CLOSED_WITH_OTHERS
        have_broken = older is _DROPPED or self._has_broken(
            ended, BROKEN_BEFORE_SECONDS
        )
        finding = await self._check_new_connection(target)
        if self._has_restarted(target):
            return Finding(process_states.State.RESTARTED, Evidence.ROW)
        if finding.state is process_states.State.UNKNOWN:
            if have_broken or older is _SILENT and finding is _DROPPED:
                return _CLOSED_WITH_OTHERS
            return older
        if (
            finding.evidence is Evidence.REFUSAL
            and not have_broken
            and self._is_draining(target.name)
        ):
            return Finding(process_states.State.LEAVING, Evidence.ROW)
        return finding

    def _has_restarted(self, target: messages.Target) -> bool:
        """Return whether the target's row is of a later process."""
        current = self._catalog.get_target(target.name)
        return current is not None and current.started != target.started

    def _has_broken(self, ended: EndedResponse, seconds: float) -> bool:
        """Return whether other connections closed at the end or since.

        ``seconds`` is how long before the end counts, too.
        """
        return self._pool.has_broken_since(
            ended.target.address, ended.ended_at - seconds
        )

    async def _check_older_connections(self, ended: EndedResponse) -> Finding:
        """Ask the process on connections from before the response ended."""
        address = ended.target.address
        running = process_states.State.RUNNING
        finding = _UNKNOWN
        for _ in range(MAX_CHECKED_CONNECTIONS):
            connection = self._pool.pop_older(address, ended.ended_at)
            if connection is None:
                break
            reply, head = await self._ask(
                connection,
                ended.target,
                self._dialect.report_path,
                OLDER_TIMEOUT_SECONDS,
            )
            if head is not None and self._is_other(head, ended.target):
                return Finding(process_states.State.RESTARTED, Evidence.NAME)
            if reply is _Reply.ANSWERED:
                return Finding(running, Evidence.RESPONSE)
            if reply is _Reply.SILENT:
                return _SILENT
            finding = _DROPPED
        return finding

    async def _has_other_responses(self, ended: EndedResponse) -> bool:
        """Return whether other responses of the process go on.

        Only bytes that have arrived since show it: the end of some connections
        may arrive later than that of others.
        """
        address = ended.target.address
        if not self._pool.is_receiving(address, ended.ended_at):
            return False
        for _ in range(MAX_SETTLING_COUNT):
            await self._timers.sleep(SETTLING_SECONDS)
            if self._pool.has_received_since(address, ended.ended_at):
                return True
            if not self._pool.has_unread(address, ended.ended_at):
                return False
            # What is unread may be followed by the end, or not.
        return False

    async def _check_new_connection(self, target: messages.Target) -> Finding:
        """Ask the process at the target's address for its name."""
        for _ in range(MAX_CHECKED_CONNECTIONS):
            try:
                async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                    connection = await self._pool.open(target.address)
            except client.ConnectionRefused:
                return Finding(process_states.State.ENDED, Evidence.REFUSAL)
            except (client.NotSent, TimeoutError):
                return _UNKNOWN
            reply, head = await self._ask(
                connection, target, self._get_health_path(target.service)
            )
            if reply is not _Reply.BROKEN:
                break
            # A process that is ending still accepts connections for a moment.
            await self._timers.sleep(SETTLING_SECONDS)
        if reply is _Reply.BROKEN:
            return _DROPPED
        if head is None:
            return _UNKNOWN
        if self._is_other(head, target):
            return Finding(process_states.State.RESTARTED, Evidence.NAME)
        if self._dialect.decode_answer(head).target == target.name:
            return Finding(process_states.State.RUNNING, Evidence.NAME)
        return _UNKNOWN

    def _is_other(self, head: client.Head, target: messages.Target) -> bool:
        """Return whether a response is of another process than a target."""
        name = self._dialect.decode_answer(head).target
        return (
            head.status == http.HTTPStatus.MISDIRECTED_REQUEST
            or name not in (None, target.name)
        )

    async def _ask(
        self,
        connection: client.Connection,
        target: messages.Target,
        path: str,
        timeout_seconds: float = CHECK_TIMEOUT_SECONDS,
    ) -> tuple[_Reply, client.Head | None]:
        """Send a check; return how the process replied."""
        head = None
        try:
            async with asyncio.timeout(timeout_seconds):
                headers = self._dialect.encode_check(target)
                connection.send(b'GET', path.encode(), headers, b'')
                head = await connection.read_head()
                await connection.read_body()
            return _Reply.ANSWERED, head
        except TimeoutError:
            if connection.is_closed:
                return _Reply.BROKEN, head
            return _Reply.SILENT, head
        except client.BadAnswer:
            # Its bytes show that the process runs.
            return _Reply.ANSWERED, None
        except client.TransportError:
            return _Reply.BROKEN, head
        finally:
            self._pool.release(target.address, connection)

    def _get_health_path(self, service: str) -> str:
        """Return where a service's targets tell their name."""
        configuration = self._catalog.configuration
        settings = configuration and configuration.services.get(service)
        path = settings.health_path if settings else ''
        return path or self._dialect.report_path

    def _is_draining(self, name: str) -> bool:
        """Return whether a target may complete responses before its end."""
        current = self._catalog.get_target(name)
        if current is None or not current.is_leaving:
            return False
        since = self._catalog.find_draining_since(name)
        now = self._timers.now()
        return since is not None and now - since <= self._drain_timeout


def _retrieve_exception(task: asyncio.Task) -> None:
    """Mark a task's exception as handled if nobody waits for it."""
    if not task.cancelled():
        task.exception()
