"""What the instances know of suspects: requests under which targets ended.

Coordinators of each suspect collect the ends that instances report. From the
second end on they tell all instances and keep a row in the store, so that it
is not forgotten when an instance, or all of them, are lost.
"""

import random
import typing

from vanillayoke.core import decoding
from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import messages
from vanillayoke.gateway import metrics as metrics_module
from vanillayoke.gateway import peer_messages
from vanillayoke.gateway import peers as peers_module
from vanillayoke.gateway import rendezvous
from vanillayoke.gateway import retries
from vanillayoke.gateway import store as store_module
from vanillayoke.gateway import suspect_rows
from vanillayoke.scheduling import quarantine

# Of the eligible and of the reachable instances each.
COORDINATOR_COUNT = 2
# Random peers to which news of a suspect is forwarded.
FANOUT = 4
# All instances learn of a suspect with as many ends. With fewer, most are
# requests that a target took with it when it ended for a reason of its own.
MIN_SHARED_ENDS = 2
# A coordinator repeats its news, as datagrams get lost and instances start.
REPEAT_INTERVAL_SECONDS = 1.0
WRITE_TIMEOUT_SECONDS = 5.0
READ_TIMEOUT_SECONDS = 1.0
READ_RETRY_SECONDS = 0.1
# A start does not wait longer for the table.
MAX_LOAD_SECONDS = 2.0


class Suspects:
    """One instance's copy of the suspects.

    ``on_news`` is called with the fingerprint of each suspect of which more or
    less is known than before.
    """

    def __init__(
        self,
        instance: str,
        store: store_module.StoreClient,
        membership: rendezvous.MembershipView,
        timer_service: timers.TimerService,
        rng: random.Random,
        spawn: typing.Callable[[typing.Coroutine], None],
        log: logs.Logger,
        metrics: metrics_module.Metrics,
        on_rejected: typing.Callable[[str, decoding.Reason], None],
        on_news: typing.Callable[[str], None],
    ) -> None:
        self._on_news = on_news
        self._instance = instance
        self._store = store
        self._membership = membership
        self._timers = timer_service
        self._rng = rng
        self._spawn = spawn
        self._log = log
        self._metrics = metrics
        self._on_rejected = on_rejected
        self._peers: peers_module.Peers | None = None
        self.known = quarantine.SuspectList()
        # Those that all instances know and that have a row.
        self._shared: set[str] = set()
        self._repeat_at = 0.0
        self.is_loaded = False

    def set_peers(self, peers: peers_module.Peers) -> None:
        """Set the connection to the other instances."""
        self._peers = peers

    # Start

    async def load(self) -> None:
        """Read the suspects that were known before this instance started."""
        deadline = self._timers.now() + MAX_LOAD_SECONDS
        while not self.is_loaded:
            try:
                page = await self._store.read(
                    suspect_rows.TABLE,
                    suspect_rows.PARTITION,
                    READ_TIMEOUT_SECONDS,
                )
            except store_module.StoreError:
                if self._timers.now() >= deadline:
                    self.is_loaded = True
                await self._store.wait_before_retry(READ_RETRY_SECONDS)
                continue
            for row in page.rows:
                self._apply_row(row)
            self.is_loaded = True

    def _apply_row(self, row: messages.Row) -> None:
        now = self._timers.now()
        try:
            ends = suspect_rows.decode(
                row.value, self._timers.wall() - now, now
            )
        except decoding.DecodingError as error:
            self._on_rejected('suspects', error.reason)
            self._log.write(
                log_events.ROW_REJECTED,
                table=suspect_rows.TABLE,
                row=row.where.key,
                reason=error.reason.value,
                error=str(error),
            )
            return
        for end in ends:
            self.known.record_end(row.where.key, end, now)
        self._shared.add(row.where.key)

    # Reports of this instance

    def record_end(self, fingerprint: str, end: quarantine.End) -> bool:
        """Record an end that this instance saw; return whether it is news."""
        end = self.known.number_end(fingerprint, end)
        is_news = self.known.record_end(fingerprint, end, self._timers.now())
        if is_news:
            self._handle_news(fingerprint)
        return is_news

    def record_completion(
        self, fingerprint: str, software: quarantine.Software
    ) -> bool:
        """Record a run that ended whole here; return whether it clears."""
        was_cleared = self.known.record_completion(
            fingerprint,
            quarantine.Completion(software, self._timers.now()),
        )
        if was_cleared:
            self._handle_cleared(fingerprint)
        return was_cleared

    # Gossip

    def receive(self, report: peer_messages.SuspectReport) -> None:
        """Merge what another instance tells.

        News is forwarded, with the last whole run that is known here.
        """
        self.merge(report.fingerprint, report.ends, report.completed, True)

    def maintain(self) -> None:
        """Forget suspects, repeat news and drop rows; called regularly."""
        now = self._timers.now()
        for fingerprint in self.known.expire(now):
            self._log_cleared(fingerprint, 'expired')
            self._unshare(fingerprint)
        if now >= self._repeat_at:
            self._repeat_at = now + REPEAT_INTERVAL_SECONDS
            for fingerprint in self._shared & set(self.known):
                if self._is_coordinator(fingerprint):
                    self._spread(fingerprint)

    def merge(
        self,
        fingerprint: str,
        ends: typing.Iterable[peer_messages.ProcessEnd],
        completed: peer_messages.WholeRun | None,
        is_shared: bool = False,
    ) -> None:
        """Merge what another instance knows.

        ``is_shared`` says that all instances are told.
        """
        now = self._timers.now()
        if completed is not None and self.known.record_completion(
            fingerprint, _decode_completion(completed, now)
        ):
            self._handle_cleared(fingerprint)
        is_news = False
        for end in ends:
            is_news |= self.known.record_end(
                fingerprint, _decode_end(end, now), now
            )
        if is_news:
            if is_shared:
                self._shared.add(fingerprint)
                self._spread(fingerprint)
            self._handle_news(fingerprint)

    def _handle_news(self, fingerprint: str) -> None:
        """Act on an end that this instance has learned of."""
        self._on_news(fingerprint)
        suspect = self.known.get(fingerprint)
        if suspect is None:
            return
        self._metrics.suspects.set(len(self.known))
        if not self._is_coordinator(fingerprint):
            return
        self._log_quarantine(fingerprint, suspect)
        if len(suspect.ends) >= MIN_SHARED_ENDS:
            self._shared.add(fingerprint)
            self._spread(fingerprint)
            self._spawn(self._write_row(fingerprint))

    def _handle_cleared(self, fingerprint: str) -> None:
        self._log_cleared(fingerprint, 'a run ended whole')
        self._on_news(fingerprint)
        if fingerprint in self._shared:
            self._spread(fingerprint)
        self._unshare(fingerprint)

    def _unshare(self, fingerprint: str) -> None:
        self._metrics.suspects.set(len(self.known))
        if fingerprint in self._shared:
            self._shared.discard(fingerprint)
            if self._is_coordinator(fingerprint):
                self._spawn(self._write_row(fingerprint))

    def _spread(self, fingerprint: str) -> None:
        if self._peers is None:
            return
        report = peer_messages.SuspectReport(
            fingerprint,
            self.encode_ends(fingerprint),
            self.encode_completion(fingerprint),
        )
        # Those that are leaving still take requests.
        others = [
            peer
            for peer in self._membership.list_reachable()
            if peer.instance != self._instance
        ]
        for peer in self._rng.sample(others, min(FANOUT, len(others))):
            self._peers.notify(peer.address, report)

    def list_coordinators(self, fingerprint: str) -> list[rendezvous.Peer]:
        """Return the coordinators of a suspect, the one that permits first.

        They are the highest of those that are eligible, and of all that are
        reachable: the latter know more while the former have just started.
        """
        found = []
        for peers in (
            self._membership.list_eligible(),
            self._membership.list_reachable(),
        ):
            found += rendezvous.list_highest(
                fingerprint, peers, COORDINATOR_COUNT
            )
        return list({peer.instance: peer for peer in found}.values())

    def _is_coordinator(self, fingerprint: str) -> bool:
        coordinators = self.list_coordinators(fingerprint)
        return not coordinators or any(
            peer.instance == self._instance for peer in coordinators
        )

    # Rows

    async def _write_row(self, fingerprint: str) -> None:
        """Write or remove the row, as the suspect is known at present."""
        where = messages.RowKey(
            suspect_rows.TABLE, suspect_rows.PARTITION, fingerprint
        )
        suspect = self.known.get(fingerprint)
        now = self._timers.now()
        if suspect is None:
            transaction = messages.Transaction((), removals=(where,))
        else:
            value = suspect_rows.encode(suspect, self._timers.wall() - now)
            transaction = messages.Transaction((), writes=((where, value),))
        try:
            await retries.commit(
                self._store,
                transaction,
                now + WRITE_TIMEOUT_SECONDS,
                self._timers,
            )
        except store_module.StoreError:
            # The instances know it. A row that is not removed expires.
            self._metrics.unsaved_suspects.add(1)

    # Messages

    def encode_completion(
        self, fingerprint: str
    ) -> peer_messages.WholeRun | None:
        completion = self.known.find_completion(
            fingerprint, self._timers.now()
        )
        if completion is None:
            return None
        return peer_messages.WholeRun(
            *completion.software,
            self._compute_age_ms(completion.completed_at),
        )

    def encode_ends(
        self, fingerprint: str
    ) -> tuple[peer_messages.ProcessEnd, ...]:
        suspect = self.known.get(fingerprint)
        if suspect is None:
            return ()
        return tuple(
            peer_messages.ProcessEnd(
                end.target,
                end.started,
                *end.software,
                self._compute_age_ms(end.ended_at),
                max(0, round(1000 * (end.ended_at - end.began_at))),
                end.versions,
                end.number,
            )
            for end in suspect.ends.values()
        )

    def _compute_age_ms(self, at: float) -> int:
        return max(0, round(1000 * (self._timers.now() - at)))

    # Log lines

    def _log_quarantine(
        self, fingerprint: str, suspect: quarantine.Suspect
    ) -> None:
        now = self._timers.now()
        for service, verdict in suspect.judge().items():
            if not verdict.is_quarantined(now):
                continue
            self._metrics.quarantines.add(1, service=service)
            self._log.write(
                log_events.REQUEST_QUARANTINED,
                fingerprint=fingerprint,
                service=service,
                software=sorted(verdict.versions),
                ends=verdict.ends,
                targets=[end.target for end in suspect.ends.values()],
                last_end_age=round(now - suspect.last_end_at, 3),
                protected=verdict.is_protected,
                seconds=round(verdict.released_at - now, 1),
            )

    def _log_cleared(self, fingerprint: str, reason: str) -> None:
        self._log.write(
            log_events.REQUEST_CLEARED, fingerprint=fingerprint, reason=reason
        )


def _decode_end(end: peer_messages.ProcessEnd, now: float) -> quarantine.End:
    ended_at = now - end.age_ms / 1000
    return quarantine.End(
        end.target,
        end.started,
        quarantine.Software(end.service, end.software_version),
        ended_at - end.ran_ms / 1000,
        ended_at,
        end.versions,
        end.number,
    )


def _decode_completion(
    completed: peer_messages.WholeRun, now: float
) -> quarantine.Completion:
    return quarantine.Completion(
        quarantine.Software(completed.service, completed.software_version),
        now - completed.age_ms / 1000,
    )
