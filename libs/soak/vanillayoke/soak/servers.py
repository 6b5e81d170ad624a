"""The processes of stand-ins: the store, and servers with records."""

import asyncio

import msgspec

from vanillayoke.adapter import fields
from vanillayoke.soak import control
from vanillayoke.soak import records
from vanillayoke.standins import store as store_module
from vanillayoke.standins import targets
from vanillayoke.transport import server

_ORGANISATION = fields.ORGANISATION.lower()


class RecordingTarget(targets.FakeTarget):
    """A server that writes down what it works on."""

    def __init__(self, name: str, service: str, slots: int) -> None:
        super().__init__(name, slots)
        self._service = service

    async def _execute(
        self,
        run: targets.Execution,
        fault: targets.Fault | None,
        responder: server.Responder,
    ) -> None:
        control.write_record(
            records.Started(
                control.read_now(),
                self.name,
                self._service,
                run.request,
                run.method.decode(),
                run.target.decode(),
                run.body.decode('latin-1'),
                run.headers.get(_ORGANISATION, b'').decode('latin-1'),
                fields.AUTHORIZATION in run.headers,
            )
        )
        # What ran stays in the records; memory must not grow with the run.
        self.executions.clear()
        is_cut = True
        try:
            await super()._execute(run, fault, responder)
            is_cut = False
        finally:
            now = control.read_now()
            control.write_record(
                records.Ended(now, self.name, run.request, is_cut)
            )


async def run_target(
    name: str, service: str, address: str, slots: int, events: int
) -> None:
    """Serve as one server until standard input is closed."""
    target = RecordingTarget(name, service, slots)
    target.event_count = events
    host, _, port = address.rpartition(':')
    await target.listen(host, int(port))
    async for order in control.read_orders():
        match order:
            case control.Fail(fault, times):
                target.faults.extend([targets.Fault(fault)] * times)
            case control.Pace(gap):
                target.event_interval = gap


async def run_store(address: str) -> None:
    """Serve as the store until standard input is closed."""
    store = store_module.FakeStore()
    host, _, port = address.rpartition(':')
    await store.listen(host, int(port))
    async for order in control.read_orders():
        match order:
            case control.Put(table, key, content, record):
                store.put(table, key, content)
                if record is not None:
                    at = control.read_now()
                    control.write_record(_stamp(record, at))
            case control.Spoil(table, key):
                store.corrupt(table, key)
            case control.Store():
                _change(store, order)


def _change(store: store_module.FakeStore, order: control.Store) -> None:
    store.mode = store_module.Mode(order.mode)
    store.response_delay = order.delay
    store.lost_replies += order.lost_replies
    store.late_writes += order.late_writes
    if order.forget:
        store.discard_history()


def _stamp(record: records.Record, at: float) -> records.Record:
    match record:
        case records.Leaving(_, server_name):
            return records.Leaving(at, server_name)
        case records.Accepted():
            return msgspec.structs.replace(record, at=at)
    return record


def run(arguments: list[str]) -> None:
    """Run the stand-in that the arguments name."""
    match arguments:
        case ['store', address]:
            asyncio.run(run_store(address))
        case ['target', name, service, address, slots, events]:
            asyncio.run(
                run_target(name, service, address, int(slots), int(events))
            )
