"""One run: a site, its callers, the faults of a plan, the verdict."""

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
from vanillayoke.soak import plans
from vanillayoke.soak import records
from vanillayoke.soak import sites

# Instances find each other and the servers within this time of their start.
START = 4.0
CHECK_PAUSE = 2.0
# Records of servers and of the store reach the run within this time.
SETTLING = 1.0


class Result(msgspec.Struct):
    """What became of a run."""

    seed: int
    faults: dict[str, int]
    requests: int
    served: int
    started: int
    checked: dict[str, int]
    violations: list[checks.Violation]


class Run:
    """Plays a plan on a site of processes."""

    def __init__(
        self,
        plan: plans.Plan,
        folder: pathlib.Path,
        network: int,
        is_timed: bool = True,
    ) -> None:
        self._plan = plan
        self._is_timed = is_timed
        self._site = sites.Site(folder, network, plan.instances)
        self._folder = folder
        self._history = histories.History(records.Bounds())
        self._source = random.Random(plan.seed)
        self._tasks: set[asyncio.Task] = set()
        self._violations: list[checks.Violation] = []

    async def play(self) -> Result:
        """Play the plan and return the verdict."""
        site = self._site
        callers = callers_module.Callers(
            site.list_directories,
            site.find_door,
            lambda: site.version,
            site.keys.get_key,
            self._history.add,
            self._source,
        )
        try:
            await site.start()
            await asyncio.sleep(START)
            began = control.read_now()
            for _ in range(self._plan.callers):
                self._spawn(callers.run())
            for fault in self._plan.faults:
                self._spawn(self._cause(fault, began))
            end = began + self._plan.faulty + self._plan.calm
            while control.read_now() < end and not self._violations:
                await asyncio.sleep(CHECK_PAUSE)
                self._check()
            callers.is_over = True
            await self._stop_instances()
            self._check()
        finally:
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await site.stop()
        return self._conclude()

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._end)

    def _end(self, task: asyncio.Task) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            error = repr(task.exception())
            self._violations.append(checks.Violation('soak', 'run', error))

    def _check(self) -> None:
        for record in self._site.collect():
            self._history.add(record)
        cutoff = control.read_now() - SETTLING
        if not self._violations:
            self._violations = checks.check_all(
                self._history, cutoff, self._is_timed
            )

    async def _stop_instances(self) -> None:
        for host in list(self._site.instances):
            self._site.tell_to_stop(host)
        grace = self._history.bounds.grace
        waits = [one.wait() for one in self._site.instances.values()]
        try:
            async with asyncio.timeout(grace + SETTLING):
                await asyncio.gather(*waits)
        except TimeoutError:
            # The check of planned stops tells which did not end.
            return
        await asyncio.sleep(SETTLING)

    def _conclude(self) -> Result:
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

    async def _cause(self, fault: plans.Fault, began: float) -> None:
        await asyncio.sleep(max(0.0, began + fault.at - control.read_now()))
        now = control.read_now()
        self._history.add(
            records.Disturbed(
                now,
                now + fault.seconds,
                _find_family(fault.kind),
                f'{fault.kind} {fault.subject}',
            )
        )
        family, _, what = fault.kind.partition('_')
        match family:
            case 'kill' | 'freeze' | 'term' | 'replace' | 'hup' | 'clock':
                await self._hit_instance(fault)
            case 'store':
                await self._hit_store(fault, what)
            case 'server':
                await self._hit_server(fault, what)
            case 'link' | 'caller':
                await self._hit_link(fault, what)
            case 'configure' if what == 'keys':
                self._site.keys.rotate_key(fault.subject)
                self._site.configure()
            case 'configure' if what == 'limit':
                self._site.keys.is_limit_lowered = (
                    not self._site.keys.is_limit_lowered
                )
                self._site.configure()
            case 'configure':
                if fault.kind == plans.MANY_ROUTES_KIND:
                    self._site.grown_routes += int(fault.strength)
                    self._site.configure()
                    return
                for _ in range(max(1, int(fault.strength))):
                    self._site.configure()
                    await asyncio.sleep(0.15)

    async def _hit_instance(self, fault: plans.Fault) -> None:
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
            self._site.tell_to_stop(host)
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

    async def _freeze(self, child: typing.Any, fault: plans.Fault) -> None:
        if child is None:
            return
        child.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.seconds)
        child.signal(signal.SIGCONT)

    async def _hit_store(self, fault: plans.Fault, what: str) -> None:
        site = self._site
        match what:
            case 'lost':
                site.store.order(
                    control.Store(lost_replies=int(fault.strength))
                )
            case 'late':
                site.store.order(
                    control.Store(late_writes=int(fault.strength))
                )
            case 'forget':
                site.store.order(control.Store(forget=True))
            case 'slow':
                site.store.order(control.Store(delay=fault.strength))
                await asyncio.sleep(fault.seconds)
                site.store.order(control.Store())
            case 'cut' | 'silent':
                host = site.choose_host(fault.subject)
                if host:
                    link = site.find_store_link(host)
                    await self._change_link(link, what, fault)
            case _:
                site.store.order(control.Store(mode=what))
                await asyncio.sleep(fault.seconds)
                site.store.order(control.Store())

    async def _hit_server(self, fault: plans.Fault, what: str) -> None:
        site = self._site
        server = site.servers[fault.subject % len(site.servers)]
        child = server.child
        match what:
            case 'kill':
                name = server.name
                child.signal(signal.SIGKILL)
                await asyncio.sleep(fault.seconds)
                site.unregister(name)
                if server.child is child:
                    await site.start_server(server)
            case 'reborn':
                child.signal(signal.SIGKILL)
                await asyncio.sleep(fault.seconds)
                if server.child is child:
                    await site.start_server(server, is_reborn=True)
            case 'foreign':
                keys = site.put_foreign(server)
                await asyncio.sleep(fault.seconds)
                for key in keys:
                    site.unregister(key)
            case 'freeze':
                await self._freeze(child, fault)
            case 'leave':
                await self._replace_server(server)
            case _:
                times = max(1, int(fault.strength))
                child.order(control.Fail(what, times))

    async def _replace_server(self, server: sites.Server) -> None:
        """Let a server drain, end and come back as another incarnation."""
        child, name = server.child, server.name
        self._site.register(server, 'draining')
        bounds = self._history.bounds
        await asyncio.sleep(bounds.leaving + 2 * bounds.slack)
        self._site.unregister(name)
        if server.child is child:
            child.signal(signal.SIGKILL)
            await self._site.start_server(server)

    async def _hit_link(self, fault: plans.Fault, what: str) -> None:
        site = self._site
        if fault.kind.startswith('caller'):
            host = site.choose_host(fault.subject)
            if not host:
                return
            address = site.find_door(host)
        else:
            server = site.servers[fault.subject % len(site.servers)]
            address = site.find_server_link(server)
        await self._change_link(address, what, fault)

    async def _change_link(
        self, address: str, what: str, fault: plans.Fault
    ) -> None:
        links = self._site.links
        match what:
            case 'slow':
                links.order(control.Link(address, delay=fault.strength))
            case 'throttle':
                links.order(control.Link(address, rate=fault.strength))
            case _:
                links.order(control.Link(address, what))
        await asyncio.sleep(fault.seconds)
        links.order(control.Link(address))


def _find_family(kind: str) -> str:
    """Return what a fault counts as for the checks."""
    family = kind.partition('_')[0]
    return 'link' if family == 'caller' else family
