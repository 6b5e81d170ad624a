"""Choice of targets by expected completion time, for those that report it.

It is used for the services whose targets report the contention on their
machines. The usual times of a service are learned from its responses.
"""

import typing

from vanillayoke.core import events as log_events
from vanillayoke.gateway import context as context_module
from vanillayoke.gateway import forwarding
from vanillayoke.scheduling import completion
from vanillayoke.scheduling import load_counts
from vanillayoke.scheduling import occupancy
from vanillayoke.scheduling import prefixes
from vanillayoke.scheduling import slowdown as slowdown_module

if typing.TYPE_CHECKING:
    from vanillayoke.gateway import dispatch

# The latency without the distance between zones is at least this share of it.
MIN_LATENCY_RATIO = 0.1


class CompletionTimes:
    """Chooses targets by expected completion time and learns usual times."""

    def __init__(
        self,
        context: context_module.Context,
        get_slowdown: typing.Callable[[str], slowdown_module.Slowdown],
    ) -> None:
        self._context = context
        self._get_slowdown = get_slowdown
        self._times: dict[str, completion.ServiceTimes] = {}

    def is_used(self, service: str) -> bool:
        """Return whether a service's targets report their contention."""
        return self._context.load_queries.performance.reports_contention(
            service
        )

    async def choose(
        self,
        progress: 'dispatch.Progress',
        candidates: typing.Sequence[occupancy.Candidate],
        criteria: occupancy.PlacementCriteria,
        excluded: typing.Container[str],
    ) -> occupancy.Candidate | None:
        """Return the best target, ``None`` if none has a free slot.

        Further candidates are considered only if the first ones are slow.
        """
        context = self._context
        considered, further = occupancy.choose_candidates(
            candidates,
            context.occupancy,
            criteria,
            excluded,
            context.timers.now(),
            context.random_float,
        )
        demand = self._make_demand(progress, criteria)
        loads = await context.load_queries.query(considered)
        states = self._get_states(progress.service, considered, loads, demand)
        best = self._choose_best(considered, states, demand, criteria)
        if further and (
            best is None or not completion.is_good_enough(best, demand)
        ):
            further, last = context.zone_loads.split_remote(
                progress.service, criteria.zone, considered, further
            )
            for group in (further, last):
                group = completion.limit_further(group, criteria.zone)
                more = await context.load_queries.query(group)
                states |= self._get_states(
                    progress.service, group, more, demand
                )
                loads |= more
                considered = [*considered, *group]
                best = self._choose_best(considered, states, demand, criteria)
                if best is not None and best.wait <= 0.0:
                    break
        progress.estimate = best
        if best is None:
            progress.target_load = None
            progress.target_waiting = 0
            return None
        load = loads.get(best.target)
        progress.target_waiting = 0 if load is None else load.waiting
        progress.target_load = None if load is None else load.requests
        context.metrics.completion_choices.add(
            1,
            service=progress.service,
            view='own' if load is None else 'coordinator',
        )
        by_name = {one.name: one for one in considered}
        cached = criteria.affinity_target
        if cached in by_name and best.target != cached:
            context.log.write(
                log_events.CACHE_LEFT,
                request=progress.call.request,
                service=progress.service,
                target=best.target,
                cached=cached,
                ms=round(best.seconds * 1000, 1),
            )
        return by_name[best.target]

    def learn_turn(
        self,
        progress: 'dispatch.Progress',
        attempt: forwarding.Attempt,
        event_count: int,
    ) -> float | None:
        """Learn from a complete turn of at least two events.

        Return its interval between events relative to the expected one, or
        ``None`` if it can't be told. The attempt gets the target's pace.
        """
        placement = progress.estimate
        if placement is None or progress.broken_attempts:
            return None
        state = placement.state
        contention = attempt.contention or state.contention
        others = min(state.requests, max(0, state.slots - 1))
        slowdown = self._get_slowdown(progress.service)
        interval = (attempt.last_chunk_at - attempt.first_chunk_at) / (
            event_count - 1
        )
        if interval <= 0.0:
            return None
        times = self._get_times(progress.service)
        attempt.pace = interval / (
            contention * (1.0 + slowdown.slope * others)
        )
        slowdown.learn(others, interval / (contention * state.speed))
        slowness = state.speed * contention
        times.event_seconds.learn(attempt.pace / state.speed)
        times.event_count.learn(event_count)
        if placement.wait <= 0.0:
            first = attempt.first_chunk_at - attempt.started_at
            times.read_time.learn(placement.uncached_tokens, first / slowness)
            held = attempt.last_chunk_at - attempt.started_at
            times.hold.learn(held / slowness)
        return attempt.pace / (times.event_seconds.value * state.speed)

    def learn_latency(
        self,
        progress: 'dispatch.Progress',
        attempt: forwarding.Attempt,
        latency: float,
    ) -> float | None:
        """Learn from a complete response without events.

        Return its latency relative to the expected one, or ``None`` if it may
        have waited for a slot. The attempt gets the target's pace.
        """
        placement = progress.estimate
        if placement is None or placement.wait > 0.0 or latency <= 0.0:
            return None
        state = placement.state
        contention = attempt.contention or state.contention
        if attempt.target.zone != self._context.settings.zone:
            latency = max(
                MIN_LATENCY_RATIO * latency,
                latency - completion.ZONE_DISTANCE_SECONDS,
            )
        times = self._get_times(progress.service)
        usual = times.get_latency(progress.route.name)
        work = latency / contention
        usual.learn(work / state.speed)
        times.hold.learn(work / state.speed)
        attempt.pace = work / usual.value
        return attempt.pace / state.speed

    def _choose_best(
        self,
        candidates: typing.Sequence[occupancy.Candidate],
        states: typing.Mapping[str, completion.TargetState],
        demand: completion.Demand,
        criteria: occupancy.PlacementCriteria,
    ) -> completion.Estimate | None:
        return completion.choose(
            candidates,
            states,
            demand,
            criteria,
            self._context.settings.zone,
            self._context.random_float,
        )

    def _get_states(
        self,
        service: str,
        candidates: typing.Sequence[occupancy.Candidate],
        loads: typing.Mapping[str, load_counts.Load],
        demand: completion.Demand,
    ) -> dict[str, completion.TargetState]:
        """Return the states by the coordinators' loads or the own view.

        Without a response of the coordinator the speed counts as 1.0.
        """
        now = self._context.timers.now()
        target_occupancy = self._context.occupancy
        view = self._context.load_queries.performance
        states = {}
        for candidate in candidates:
            name = candidate.name
            load = loads.get(name)
            speed = 1.0
            if load is not None and load.performance is not None:
                performance = load.performance
                view.record_estimate(service, name, performance, now)
                speed = view.compute_speed(service, performance.pace, now)
            contention = view.get_contention(name, now)
            if load is None or completion.is_outdated(
                load.requests, load.silence, demand, speed * contention
            ):
                requests = target_occupancy.estimate_requests(name, now)
                latency_ratio = 1.0
            else:
                requests, latency_ratio = load.total, load.latency_ratio
            slots = target_occupancy.get_slots(candidate)
            states[name] = completion.TargetState(
                requests, slots, speed, contention, latency_ratio
            )
        return states

    def _make_demand(
        self,
        progress: 'dispatch.Progress',
        criteria: occupancy.PlacementCriteria,
    ) -> completion.Demand:
        call, times = progress.call, self._get_times(progress.service)
        services = self._context.catalog.configuration.services
        service = services.get(progress.service)
        engine = None if service is None else service.engine
        if engine is None:
            work = times.get_latency(progress.route.name).value
            return completion.Demand(
                work,
                times.hold.value or work,
                transfer_bytes=len(call.body),
            )
        events = times.event_count.value
        if call.expected_tokens and engine.event_tokens:
            events = call.expected_tokens / engine.event_tokens
        work = events * times.event_seconds.value
        shared = prefixes.get_shared_prefix(call.prefix)
        # The size of the whole prompt may be missing.
        prompt = max(call.prompt_tokens, sum(size for _, size in call.prefix))
        tokens = prompt + events * engine.event_tokens
        return completion.Demand(
            work,
            times.hold.value or work,
            criteria.slope,
            prompt,
            0 if shared is None else shared.tokens,
            times.read_time.value,
            tokens * completion.BYTES_PER_TOKEN,
            min(1.0, criteria.rank_cost / prefixes.MAX_RANK_COST),
        )

    def _get_times(self, service: str) -> completion.ServiceTimes:
        times = self._times.get(service)
        if times is None:
            times = self._times[service] = completion.ServiceTimes()
        return times
