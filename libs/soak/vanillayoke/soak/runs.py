"""Runs a plan and checks the recorded history."""

import asyncio
import pathlib
import random
import signal
import typing

import msgspec

from vanillayoke.soak import callers as callers_module
from vanillayoke.soak import checks
from vanillayoke.soak import control
from vanillayoke.soak import histories
from vanillayoke.soak import load
from vanillayoke.soak import plans
from vanillayoke.soak import poison
from vanillayoke.soak import processes
from vanillayoke.soak import records
from vanillayoke.soak import releases
from vanillayoke.soak import resumed_turns
from vanillayoke.soak import server_ends
from vanillayoke.soak import sites
from vanillayoke.soak import streams
from vanillayoke.soak import unframed

# Instances discover each other and the servers within this time.
STARTUP_SECONDS = 4.0
# Programs at a time that loop on small budgets.
LOOPING_PROGRAM_COUNT = 2
CHECK_INTERVAL_SECONDS = 2.0
# Maximum delay of records of servers and the store.
RECORD_DELAY_SECONDS = 1.0
MIN_PROBE_SECONDS = 3.0
PROBE_INTERVAL_SECONDS = 0.5
# Callers that keep using an instance while it stops.
STICKY_CALLER_COUNT = 32
# Between the stops of two instances, shorter than a stop.
STOP_INTERVAL_SECONDS = (0.3, 2.5)
# Signals to an instance that stops.
STOP_SIGNAL_COUNT = 2
# Less than FAULT_AFTERMATH_SECONDS. A server with few requests would keep its
# faults beyond the time in which checks expect them.
MAX_SERVER_FAULT_SECONDS = 2.0
# No request is left at a server that has been leaving for this time.
LEAVE_SECONDS = 7.0


class Result(msgspec.Struct):
    """The outcome of a run."""

    seed: int
    faults: dict[str, int]
    requests: int
    served: int
    started: int
    checked: dict[str, int]
    violations: list[checks.Violation]


class Run:
    """Runs a plan: starts processes and callers, and injects faults."""

    def __init__(
        self,
        plan: plans.Plan,
        folder: pathlib.Path,
        network: int,
        is_timed: bool = True,
    ) -> None:
        self._plan = plan
        self._is_timed = is_timed
        self._site = sites.Site(
            folder,
            network,
            plan.instances,
            plan.has_overload,
            plan.has_release,
        )
        self._folder = folder
        self._history = histories.History(records.Bounds())
        self._rng = random.Random(plan.seed)
        self._tasks: set[asyncio.Task] = set()
        self._caller_tasks: list[asyncio.Task] = []
        self._violations: list[checks.Violation] = []

    async def run(self) -> Result:
        """Run the plan and return the result."""
        site = self._site
        callers = self._callers = callers_module.Callers(
            site.list_directories,
            site.find_caller_link,
            lambda: site.version,
            site.keys.get_key,
            self._history.add,
            self._rng,
        )
        try:
            await site.start()
            await asyncio.sleep(STARTUP_SECONDS)
            traffic_start = control.read_now()
            for _ in range(self._plan.callers):
                self._caller_tasks.append(self._spawn(callers.run()))
            for _ in range(LOOPING_PROGRAM_COUNT):
                self._caller_tasks.append(self._spawn(callers.run_loops()))
            for _ in range(poison.CALLER_COUNT):
                for work in (callers.run_poison(), callers.run_sound()):
                    self._caller_tasks.append(self._spawn(work))
            turns = resumed_turns.ResumedTurns(callers, self._rng)
            for _ in range(resumed_turns.CALLER_COUNT):
                self._caller_tasks.append(self._spawn(turns.run()))
            if self._plan.has_overload:
                for _ in range(load.SLOW_READER_COUNT):
                    work = callers.run_slow_reader()
                    self._caller_tasks.append(self._spawn(work))
            for fault in self._plan.faults:
                self._spawn(self._inject(fault, traffic_start))
            end = traffic_start + self._plan.faulty
            await self._check_until(end + histories.FAULT_AFTERMATH_SECONDS)
            if not self._violations:
                await self._roll_instances()
            await self._check_until(control.read_now() + self._plan.calm)
            callers.is_over = True
            if self._plan.has_overload and not self._violations:
                await self._probe()
            await self._stop_instances()
            self._check()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await site.stop()
        return self._make_result()

    def _spawn(self, work: typing.Coroutine) -> asyncio.Task:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._handle_completion)
        return task

    def _handle_completion(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            self._violations.append(checks.Violation('soak', 'run', error))

    async def _probe(self) -> None:
        """Probe the idle site until a round succeeds or it must have."""
        history, site = self._history, self._site
        await asyncio.gather(*self._caller_tasks, return_exceptions=True)
        last = max((one.until for one in history.disturbed), default=0.0)
        deadline = max(
            last + history.bounds.recovery,
            control.read_now() + MIN_PROBE_SECONDS,
        )
        while True:
            at = control.read_now()
            slots = site.list_slots(('models', site.get_tool_service()))
            requests = await self._callers.probe()
            until = control.read_now()
            # Records of servers arrive later.
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            self._collect_records()
            history.add(records.Probed(at, until, requests, slots))
            if not load.check_idle_site(history, until) or until > deadline:
                return

    def _collect_records(self) -> None:
        for record in self._site.collect_records():
            self._history.add(record)
        for record in self._site.measure_memory():
            self._history.add(record)

    def _check(self) -> None:
        self._collect_records()
        cutoff = control.read_now() - RECORD_DELAY_SECONDS
        if not self._violations:
            self._violations = checks.check_all(
                self._history, cutoff, self._is_timed
            )

    async def _check_until(self, end: float) -> None:
        while control.read_now() < end and not self._violations:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            self._check()

    async def _roll_instances(self) -> None:
        """Stop and start all instances while callers go on.

        The stops overlap, and further signals arrive during each of them.
        """
        rng = random.Random(f'roll {self._plan.seed}')
        for _ in range(STICKY_CALLER_COUNT):
            self._caller_tasks.append(self._spawn(self._callers.run_sticky()))
        restarts = [
            self._spawn(server_ends.leave(self._site, server, LEAVE_SECONDS))
            for server in self._choose_leaving()
        ]
        for host in list(self._site.instances):
            await asyncio.sleep(rng.uniform(*STOP_INTERVAL_SECONDS))
            fault = plans.Fault(0.0, 'term_instance', seconds=rng.random())
            now = control.read_now()
            stop = records.Disturbed(
                now, now + fault.seconds, streams.PLANNED_STOP_KIND, host
            )
            self._history.add(stop)
            restarts.append(
                self._spawn(self._restart(host, signal.SIGTERM, fault))
            )
            child = self._site.instances[host]
            for _ in range(rng.randint(0, STOP_SIGNAL_COUNT)):
                number = rng.choice((signal.SIGTERM, signal.SIGHUP))
                delay = rng.uniform(0.0, self._history.bounds.grace)
                self._spawn(self._signal_later(child, number, delay))
        await asyncio.gather(*restarts)

    def _choose_leaving(self) -> list[sites.Server]:
        """Choose a model server and one of the tools in use."""
        rng = random.Random(f'leave {self._plan.seed}')
        services = 'models', self._site.get_tool_service()
        return [
            rng.choice(
                [one for one in self._site.servers if one.service == service]
            )
            for service in services
        ]

    async def _signal_later(
        self, child: processes.Child, number: signal.Signals, delay: float
    ) -> None:
        await asyncio.sleep(delay)
        child.signal(number)

    async def _stop_instances(self) -> None:
        for host in list(self._site.instances):
            self._site.request_stop(host)
        grace = self._history.bounds.grace
        waits = [one.wait() for one in self._site.instances.values()]
        try:
            async with asyncio.timeout(grace + RECORD_DELAY_SECONDS):
                await asyncio.gather(*waits)
        except TimeoutError:
            # Instances that are still running have no record of their end.
            return
        await asyncio.sleep(RECORD_DELAY_SECONDS)

    def _make_result(self) -> Result:
        history = self._history
        kinds: dict[str, int] = {}
        for fault in self._plan.faults:
            kinds[fault.kind] = kinds.get(fault.kind, 0) + 1
        answered = history.answered.values()
        started = sum(map(len, history.started.values()))
        return Result(
            self._plan.seed,
            kinds,
            len(history.sent),
            sum(one.status == 200 and one.is_whole for one in answered),
            started,
            checks.count_subjects(history),
            self._violations,
        )

    # Faults

    async def _inject(self, fault: plans.Fault, traffic_start: float) -> None:
        await asyncio.sleep(
            max(0.0, traffic_start + fault.at - control.read_now())
        )
        now = control.read_now()
        self._history.add(
            records.Disturbed(
                now,
                now + fault.seconds,
                _get_family(fault.kind),
                f'{fault.kind} {fault.subject}',
            )
        )
        family, _, variant = fault.kind.partition('_')
        match family:
            case 'burst' | 'crowd':
                self._start_burst(fault)
            case 'kill' | 'freeze' | 'term' | 'replace' | 'hup' | 'clock':
                await self._inject_instance_fault(fault)
            case 'isolate':
                await self._isolate(
                    self._site.choose_host(fault.subject), fault
                )
            case 'store':
                await self._inject_store_fault(fault, variant)
            case 'server':
                await self._inject_server_fault(fault, variant)
            case 'link' | 'caller':
                await self._inject_link_fault(fault, variant)
            case 'stream':
                await self._inject_stream_fault(fault, variant)
            case 'configure':
                await self._configure(fault, variant)

    async def _configure(self, fault: plans.Fault, variant: str) -> None:
        site = self._site
        match variant:
            case 'keys':
                site.keys.rotate_key(fault.subject)
                site.configure()
            case 'limit':
                site.keys.is_limit_lowered = not site.keys.is_limit_lowered
                site.configure()
            case _ if fault.kind == plans.MANY_ROUTES_KIND:
                site.added_routes += int(fault.strength)
                site.configure()
            case _:
                for _ in range(max(1, int(fault.strength))):
                    site.configure()
                    await asyncio.sleep(0.15)

    def _start_burst(self, fault: plans.Fault) -> None:
        end = control.read_now() + fault.seconds
        host = self._site.choose_host(fault.subject)
        for _ in range(int(fault.strength)):
            if fault.kind == load.BURST_KIND:
                work = self._callers.run_burst(fault.subject, end)
            elif host:
                address = self._site.find_address(host)
                work = self._callers.run_slow_reader(address, end)
            else:
                return
            self._caller_tasks.append(self._spawn(work))

    async def _inject_instance_fault(self, fault: plans.Fault) -> None:
        site = self._site
        if fault.kind.endswith('_all'):
            hosts = list(site.instances)
        else:
            hosts = [site.choose_host(fault.subject)]
        match fault.kind:
            case 'kill_instance' | 'kill_all':
                await asyncio.gather(
                    *(self._restart(h, signal.SIGKILL, fault) for h in hosts)
                )
            case 'term_instance' | 'term_all':
                for host in hosts:
                    await self._restart(host, signal.SIGTERM, fault)
            case 'replace_instance':
                await self._replace(hosts[0])
            case releases.FREEZE_KIND:
                await self._release(fault)
            case 'freeze_instance':
                await self._freeze(site.instances.get(hosts[0]), fault)
            case 'hup_instance':
                if hosts[0]:
                    site.instances[hosts[0]].signal(signal.SIGHUP)
            case 'clock_step':
                if hosts[0]:
                    sign = -1 if fault.subject % 2 else 1
                    site.step_clock(hosts[0], sign * fault.strength)
                    await asyncio.sleep(fault.seconds)
                    site.step_clock(hosts[0], 0.0)

    async def _restart(
        self, host: str, number: signal.Signals, fault: plans.Fault
    ) -> None:
        child = self._site.instances.get(host)
        if child is None or not child.is_running:
            return
        if number is signal.SIGTERM:
            self._site.request_stop(host)
        else:
            child.signal(number)
        await child.wait()
        await asyncio.sleep(fault.seconds)
        if self._site.instances.get(host) is child:
            await self._site.start_instance(host)

    async def _replace(self, host: str) -> None:
        child = self._site.instances.pop(host, None)
        if child is None:
            return
        child.signal(signal.SIGKILL)
        await self._site.start_instance(self._site.choose_new_host())

    async def _isolate(self, host: str, fault: plans.Fault) -> None:
        if host:
            self._site.isolate(host, True)
            await asyncio.sleep(fault.seconds)
            self._site.isolate(host, False)

    async def _freeze(self, child: typing.Any, fault: plans.Fault) -> None:
        if child is None:
            return
        child.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        child.signal(signal.SIGCONT)

    async def _inject_store_fault(
        self, fault: plans.Fault, variant: str
    ) -> None:
        site = self._site
        match variant:
            case 'lost':
                site.store.send_command(
                    control.Store(lost_replies=int(fault.strength))
                )
            case 'late':
                site.store.send_command(
                    control.Store(late_writes=int(fault.strength))
                )
            case 'forget':
                site.store.send_command(control.Store(forget=True))
            case 'slow':
                site.store.send_command(control.Store(delay=fault.strength))
                await asyncio.sleep(fault.seconds)
                site.store.send_command(control.Store())
            case _ if fault.kind == releases.CUT_KIND:
                await self._release(fault)
            case 'cut' | 'silent':
                host = site.choose_host(fault.subject)
                if host:
                    link = site.find_store_link(host)
                    await self._change_link(link, variant, fault)
            case 'part':
                subjects = range(
                    fault.subject, fault.subject + int(fault.strength)
                )
                hosts = {site.choose_host(subject) for subject in subjects}
                await asyncio.gather(
                    *(
                        self._change_link(
                            site.find_store_link(host), 'silent', fault
                        )
                        for host in hosts - {''}
                    )
                )
            case _:
                site.store.send_command(control.Store(mode=variant))
                await asyncio.sleep(fault.seconds)
                site.store.send_command(control.Store())

    async def _release(self, fault: plans.Fault) -> None:
        """Release a version while an instance is out of step.

        Streams of the other instances break off, and their callers go to it.
        """
        site = self._site
        host = site.choose_host(fault.subject)
        if not host:
            return
        if fault.kind == releases.FREEZE_KIND:
            out_of_step = self._freeze(site.instances.get(host), fault)
            pause = fault.seconds - releases.EARLY_SECONDS
        else:
            link = site.find_store_link(host)
            out_of_step = self._change_link(link, 'cut', fault)
            pause = releases.BEGIN_SECONDS
        task = self._spawn(out_of_step)
        site.release += 1
        servers = [
            server for server in site.servers if server.service == 'models'
        ]
        await self._start_new_version(servers[fault.subject % len(servers)])
        for server in servers:
            server.child.send_command(
                control.Pace(streams.SLOW_EVENT_INTERVAL_SECONDS)
            )
        await asyncio.sleep(pause)
        self._callers.resumption_address = site.find_address(host)
        while not task.done():
            for other in list(site.instances):
                if other != host:
                    link = site.find_caller_link(other)
                    site.links.send_command(control.Link(link, 'reset'))
            await asyncio.sleep(releases.RESET_INTERVAL_SECONDS)
        self._callers.resumption_address = ''
        for server in servers:
            server.child.send_command(
                control.Pace(sites.EVENT_INTERVAL_SECONDS)
            )

    async def _start_new_version(self, server: sites.Server) -> None:
        """Let a server of the new version take the place of another one."""
        child = server.child
        child.signal(signal.SIGKILL)
        self._site.unregister(server.name)
        await self._site.replace_process(server, child)

    async def _inject_server_fault(
        self, fault: plans.Fault, variant: str
    ) -> None:
        site = self._site
        server = site.servers[fault.subject % len(site.servers)]
        child = server.child
        match variant:
            case 'kill':
                name = server.name
                child.signal(signal.SIGKILL)
                await asyncio.sleep(fault.seconds)
                site.unregister(name)
                await site.replace_process(server, child)
            case 'reborn':
                child.signal(signal.SIGKILL)
                await asyncio.sleep(fault.seconds)
                await site.replace_process(server, child, is_restart=True)
            case 'foreign':
                keys = site.put_invalid_rows(server)
                await asyncio.sleep(fault.seconds)
                for key in keys:
                    site.unregister(key)
            case 'freeze':
                await self._freeze(child, fault)
            case 'contend':
                child.send_command(control.Contend(fault.strength))
                await asyncio.sleep(fault.seconds)
                child.send_command(control.Contend(1.0))
            case 'leave':
                bounds = self._history.bounds
                delay = bounds.leaving + 2 * bounds.slack
                await server_ends.leave(site, server, delay)
            case _ if fault.kind in plans.HOSTILE_KINDS:
                times = int(fault.strength)
                child.send_command(control.Misbehave(variant, times))
                if variant.startswith('repeat'):
                    child.send_command(control.Fail('shed', times))
                await self._end_fault(child)
            case _:
                times = max(1, int(fault.strength))
                child.send_command(control.Fail(variant, times))
                await self._end_fault(child)

    async def _end_fault(self, child: processes.Child) -> None:
        """Let a server behave, before the checks rely on that."""
        await asyncio.sleep(MAX_SERVER_FAULT_SECONDS)
        child.send_command(control.Behave())

    async def _inject_stream_fault(
        self, fault: plans.Fault, variant: str
    ) -> None:
        server = self._site.servers[fault.subject % len(self._site.servers)]
        if fault.kind in unframed.KINDS and server.change_lock.locked():
            # The delay would end the process long after the fault.
            return
        match variant:
            case 'pace':
                child = server.child
                child.send_command(control.Pace(fault.strength))
                await asyncio.sleep(fault.seconds)
                child.send_command(control.Pace(sites.EVENT_INTERVAL_SECONDS))
            case 'cut':
                await self._inject_server_fault(fault, 'cut_answer')
            case 'kill':
                await self._inject_server_fault(fault, 'kill')
            case 'reset':
                host = self._site.choose_host(fault.subject)
                if host:
                    address = self._site.find_caller_link(host)
                    await self._change_link(address, 'reset', fault)
            case 'move':
                await server_ends.move(self._site, server, fault.seconds)
            case 'succeed':
                await server_ends.succeed(self._site, server, fault.seconds)
            case 'leave':
                await server_ends.leave(self._site, server, fault.seconds)

    async def _inject_link_fault(
        self, fault: plans.Fault, variant: str
    ) -> None:
        site = self._site
        if fault.kind.startswith('caller'):
            host = site.choose_host(fault.subject)
            if not host:
                return
            address = site.find_caller_link(host)
        else:
            servers = [one for one in site.servers if one.has_link]
            if not servers:
                return
            server = servers[fault.subject % len(servers)]
            address = site.find_server_link(server)
        await self._change_link(address, variant, fault)

    async def _change_link(
        self, address: str, variant: str, fault: plans.Fault
    ) -> None:
        links = self._site.links
        match variant:
            case 'slow':
                links.send_command(control.Link(address, delay=fault.strength))
            case 'throttle':
                links.send_command(control.Link(address, rate=fault.strength))
            case _:
                links.send_command(control.Link(address, variant))
        await asyncio.sleep(fault.seconds)
        links.send_command(control.Link(address))


def _get_family(kind: str) -> str:
    """Return the family of a fault that the checks use."""
    family = kind.partition('_')[0]
    return 'link' if family == 'caller' else family
