"""Processes that emulate the store and servers."""

import asyncio
import errno
import os

import msgspec

from vanillayoke.adapter import fields
from vanillayoke.soak import control
from vanillayoke.soak import hostile_targets
from vanillayoke.soak import poison
from vanillayoke.soak import records
from vanillayoke.soak import unframed
from vanillayoke.soak import unframed_targets
from vanillayoke.standins import store as store_module
from vanillayoke.standins import targets
from vanillayoke.transport import server

# Deeper than decoders go.
_NESTED = b'{"a":' * 1500
_ORGANISATION = fields.ORGANISATION.lower()
# A successor waits for the address of a process that is still running.
_ADDRESS_INTERVAL_SECONDS = 0.002
_ADDRESS_SECONDS = 5.0


class RecordingTarget(unframed_targets.UnframedTarget):
    """A server that records the requests it executes."""

    def __init__(
        self, name: str, service: str, slots: int, software_version: str
    ) -> None:
        super().__init__(name, slots)
        self._service = service
        self._software_version = software_version

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
                records.shorten(run.body.decode('latin-1')),
                run.headers.get(_ORGANISATION, b'').decode('latin-1'),
                fields.AUTHORIZATION in run.headers,
                self._software_version,
                int(run.headers.get(fields.LAST_EVENT_ID, b'0')),
                unframed.is_unframed(run.request),
            )
        )
        if poison.is_poison(run.target.decode()):
            await asyncio.sleep(poison.CRASH_SECONDS)
            os._exit(1)
        # Executions are in the records; don't keep them in memory as well.
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
    name: str,
    service: str,
    address: str,
    slots: int,
    events: int,
    software_version: str,
) -> None:
    """Run a server until standard input is closed."""
    target = RecordingTarget(name, service, slots, software_version)
    target.event_count = events
    host, _, port = address.rpartition(':')
    await _listen(target, host, int(port))
    async for command in control.read_commands():
        match command:
            case control.Fail(fault, times):
                target.faults.extend([targets.Fault(fault)] * times)
            case control.Misbehave(hostility, times):
                kind = hostile_targets.Hostility(hostility)
                target.hostilities.extend([kind] * times)
            case control.Behave():
                target.behave()
            case control.Pace(gap):
                target.event_interval = gap
            case control.Contend(contention):
                target.contention = contention


async def _listen(target: RecordingTarget, host: str, port: int) -> None:
    async with asyncio.timeout(_ADDRESS_SECONDS):
        while True:
            try:
                await target.listen(host, port)
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await asyncio.sleep(_ADDRESS_INTERVAL_SECONDS)
            else:
                return


async def run_store(address: str) -> None:
    """Run the store until standard input is closed."""
    store = store_module.FakeStore()
    host, _, port = address.rpartition(':')
    await store.listen(host, int(port))
    async for command in control.read_commands():
        match command:
            case control.Put(table, key, content, record):
                store.put(table, key, content)
                if record is not None:
                    at = control.read_now()
                    control.write_record(_set_time(record, at))
            case control.Spoil(table, key, is_nested):
                if is_nested:
                    store.put_bytes(table, key, _NESTED)
                else:
                    store.corrupt(table, key)
            case control.Store():
                _change(store, command)


def _change(store: store_module.FakeStore, command: control.Store) -> None:
    store.mode = store_module.Mode(command.mode)
    store.response_delay = command.delay
    store.lost_replies += command.lost_replies
    store.late_writes += command.late_writes
    if command.forget:
        store.discard_history()


def _set_time(record: records.Record, at: float) -> records.Record:
    match record:
        case records.Leaving(_, server_name):
            return records.Leaving(at, server_name)
        case records.Accepted():
            return msgspec.structs.replace(record, at=at)
    return record


def run(arguments: list[str]) -> None:
    """Run the process that the arguments name."""
    match arguments:
        case ['store', address]:
            asyncio.run(run_store(address))
        case ['target', name, service, address, slots, events, version]:
            asyncio.run(
                run_target(
                    name, service, address, int(slots), int(events), version
                )
            )
