"""Keeps requests that end targets from reaching ever more of them."""

import asyncio
import typing

from vanillayoke.core import events as log_events
from vanillayoke.core import logs
from vanillayoke.core import timers
from vanillayoke.gateway import catalog as catalog_module
from vanillayoke.gateway import fingerprints
from vanillayoke.gateway import messages
from vanillayoke.gateway import permits as permits_module
from vanillayoke.gateway import refusals
from vanillayoke.gateway import response_ends
from vanillayoke.gateway import suspects as suspects_module
from vanillayoke.gateway import target_ends as target_ends_module
from vanillayoke.scheduling import quarantine
from vanillayoke.transport import client

# How long a request that broke off waits until the state of its target is
# known. A refused connection takes a millisecond or two; a target that is cut
# off does not answer, which must not delay the next attempt.
CHECK_TIMEOUT_SECONDS = 0.05

# The pause before a suspect asks again, as there was news of it.
PERMIT_RETRY_SECONDS = 0.01


class Runs:
    """The runs of one request, as far as its quarantine is concerned.

    ``fingerprint`` is computed when first needed.
    """

    def __init__(self, call: messages.Call, organisation: str | None) -> None:
        self.organisation = organisation
        self.call = call
        # The ticket of the permit, if its run is the only one of a suspect.
        self.permit: str | None = None
        self.permit_count = 0
        # The target at which the permitted run is registered.
        self.target: str | None = None
        # Versions of the service's software that must not get the request.
        self.excluded: set[str] = set()
        # When an attempt at a target last began, by the target's name.
        self.began_at: dict[str, float] = {}
        # Targets that have ended under the request.
        self.ended_targets: set[str] = set()
        self._checks: list[asyncio.Event] = []
        self._fingerprint: str | None = None

    @property
    def fingerprint(self) -> str:
        """The fingerprint of the request."""
        if self._fingerprint is None:
            self._fingerprint = fingerprints.compute(
                self.call, self.organisation
            )
        return self._fingerprint

    def add_check(self) -> asyncio.Event:
        """Return what is to be set once a target's state is known."""
        check = asyncio.Event()
        self._checks.append(check)
        return check

    async def wait_for_checks(self, timeout_seconds: float) -> None:
        """Wait until the states of targets are known, or until the timeout."""
        checks, self._checks = self._checks, []
        try:
            async with asyncio.timeout(timeout_seconds):
                for check in checks:
                    await check.wait()
        except TimeoutError:
            pass


class Quarantine:
    """Decides whether and where requests may run."""

    def __init__(
        self,
        instance: str,
        suspects: suspects_module.Suspects,
        permits: permits_module.Permits,
        target_ends: target_ends_module.TargetEnds,
        catalog: catalog_module.Catalog,
        timer_service: timers.TimerService,
        spawn: typing.Callable[[typing.Coroutine], None],
        log: logs.Logger,
    ) -> None:
        self._instance = instance
        self._suspects = suspects
        self._permits = permits
        self._target_ends = target_ends
        self._catalog = catalog
        self._timers = timer_service
        self._spawn = spawn
        self._log = log

    @property
    def is_ready(self) -> bool:
        """Whether it is known which requests are in quarantine."""
        return self._suspects.is_loaded

    def is_suspect(self, runs: Runs) -> bool:
        """Return whether a target has ended under such a request."""
        return self._find_suspect(runs) is not None

    def check(self, runs: Runs, service: str) -> None:
        """Raise ``RefusalError`` if a service can't run the request."""
        suspect = self._find_suspect(runs)
        runs.excluded.clear()
        if suspect is None:
            return
        now = self._timers.now()
        verdict = suspect.judge().get(service)
        if verdict is None or not verdict.is_quarantined(now):
            return
        runs.excluded.update(verdict.versions)
        if any(
            target.software_version not in verdict.versions
            for target in self._catalog.list_targets(service)
        ):
            return
        raise refusals.RefusalError(
            refusals.Reason.QUARANTINED,
            f'fingerprint {runs.fingerprint}: {verdict.ends} processes ended,'
            f' the last one {now - suspect.last_end_at:.1f} s ago',
            retry_after=verdict.released_at - now,
            is_exact=True,
        )

    async def admit_run(
        self, runs: Runs, service: str, deadline: float
    ) -> None:
        """Return when the request may run.

        Raise ``RefusalError`` if it is in quarantine, or if another run of
        such a request is under way until the deadline.
        """
        await runs.wait_for_checks(CHECK_TIMEOUT_SECONDS)
        while True:
            self.check(runs, service)
            suspect = self._find_suspect(runs)
            now = self._timers.now()
            if suspect is None or not suspect.must_run_alone(now):
                self.end_permit(runs)
                return
            if runs.permit is not None:
                return
            if now >= deadline:
                raise refusals.RefusalError(refusals.Reason.BUSY)
            await self._request_permit(runs, deadline)

    async def _request_permit(self, runs: Runs, deadline: float) -> None:
        runs.permit_count += 1
        ticket = f'{self._instance}/{runs.call.request}/{runs.permit_count}'
        # Set before the answer, so that the permit is returned if the request
        # is cancelled meanwhile.
        runs.permit = ticket
        if not await self._permits.request_run(
            runs.fingerprint, ticket, deadline
        ):
            runs.permit = None
            await self._timers.sleep(PERMIT_RETRY_SECONDS)

    async def admit_target(
        self, runs: Runs, target: str, deadline: float
    ) -> bool:
        """Return whether the permitted run may be at a target."""
        suspect = self._find_suspect(runs)
        if runs.permit is None or suspect is None:
            return True
        self._release_target(runs)
        runs.target = target
        return await self._permits.request_target(
            target, runs.permit, suspect.must_run_exclusively, deadline
        )

    def record_broken(
        self,
        runs: Runs,
        target: messages.Target,
        error: client.TransportError,
    ) -> None:
        """Find out in the background whether a target ended under a run."""
        self._release_target(runs)
        ticket, runs.permit = runs.permit or '', None
        now = self._timers.now()
        attempt = target_ends_module.BrokenAttempt(
            runs.call.request,
            runs.organisation,
            runs.fingerprint,
            target,
            runs.began_at.get(target.name, now),
            now,
        )
        # The task keeps neither the request nor the error, whose traceback
        # refers to it: they may be large, and nobody counts them any more.
        ended_targets = runs.ended_targets
        has_timed_out = isinstance(error, client.TimedOut)
        is_end_known = isinstance(error, response_ends.ProcessEndedError)
        known_state = error.state if is_end_known else None
        check = runs.add_check()

        async def find_state() -> None:
            try:
                if known_state is not None:
                    state = known_state
                    self._target_ends.record(attempt, state)
                else:
                    state = await self._target_ends.find_state(
                        attempt, has_timed_out
                    )
                if state.has_crashed:
                    ended_targets.add(target.name)
                    self.record_crash(attempt, ticket)
                elif ticket:
                    self._permits.report(attempt.fingerprint, ticket)
            finally:
                check.set()

        self._spawn(find_state())

    def record_crash(
        self,
        attempt: target_ends_module.BrokenAttempt,
        ticket: str = '',
    ) -> None:
        """Record that a target's process ended under a request."""
        target = attempt.target
        end = quarantine.End(
            target.name,
            target.started,
            target.software,
            attempt.began_at,
            attempt.broke_at,
            self._list_versions(target.service),
        )
        if self._suspects.record_end(attempt.fingerprint, end):
            suspect = self._suspects.known.get(attempt.fingerprint)
            self._log.write(
                log_events.REQUEST_SUSPECTED,
                request=attempt.request,
                organisation=attempt.organisation,
                fingerprint=attempt.fingerprint,
                target=target.name,
                software=target.software_version,
                started=target.started,
                ends=len(suspect.ends),
            )
        self._permits.report(attempt.fingerprint, ticket)

    def record_completed(self, runs: Runs, target: messages.Target) -> None:
        """Record that a run has ended whole, which clears the request."""
        was_cleared = self._suspects.record_completion(
            runs.fingerprint, target.software
        )
        if was_cleared and runs.permit is None:
            self._permits.report(runs.fingerprint, '')
        self.end_permit(runs)

    def end_permit(self, runs: Runs) -> None:
        """Record that no run of the request is under way any more."""
        self._release_target(runs)
        if runs.permit is not None:
            self._permits.report(runs.fingerprint, runs.permit)
            runs.permit = None

    def _release_target(self, runs: Runs) -> None:
        if runs.target is not None and runs.permit is not None:
            self._permits.release_target(runs.target, runs.permit)
        runs.target = None

    def _list_versions(self, service: str) -> tuple[str, ...]:
        versions = {
            target.software_version
            for target in self._catalog.list_targets(service)
        }
        return tuple(sorted(versions))[: quarantine.MAX_VERSIONS]

    def _find_suspect(self, runs: Runs) -> quarantine.Suspect | None:
        # Nearly always there are none; then no fingerprint is needed.
        if not self._suspects.known:
            return None
        return self._suspects.known.get(runs.fingerprint)
