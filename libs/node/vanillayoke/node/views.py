"""Programs as their clients and the operators see them."""

import msgspec

from vanillayoke.entry import host
from vanillayoke.programs import calls
from vanillayoke.programs import program as programs
from vanillayoke.programs import records


def make_view(program: programs.Program, instance: str) -> host.ProgramView:
    """Return a program's state; the deadline is in seconds of the epoch."""
    running = program.running
    return host.ProgramView(
        program=program.id,
        agent=program.agent,
        state=program.end_reason or str(program.state),
        parent=program.parent,
        deadline=round(program.deadline, 3),
        calls=len(program.calls),
        running=running.number if running else 0,
        budget=msgspec.structs.asdict(program.budget),
        spent=msgspec.structs.asdict(program.committed),
        instance=instance,
    )


def list_history(
    program: programs.Program, after: int, limit: int
) -> list[host.HistoryEntry]:
    """Return the messages and outcomes of calls numbered above ``after``.

    Calls are given whole: the last one may bring the page over ``limit``.
    """
    entries: list[host.HistoryEntry] = []
    for call in program.calls[max(after, 0) :]:
        if len(entries) >= limit:
            break
        entries += _list_entries(call)
    return entries


def _list_entries(call: calls.Call) -> list[host.HistoryEntry]:
    entries = [_make_entry(call, message) for message in call.messages]
    if call.message is not None:
        return [*entries, _make_entry(call, call.message)]
    outcome = host.HistoryEntry(
        number=call.number,
        kind=call.kind.value,
        name=call.name,
        state=str(call.state),
    )
    if call.error:
        outcome['error'] = call.error
    return [*entries, outcome]


def _make_entry(
    call: calls.Call, message: records.Message
) -> host.HistoryEntry:
    entry = host.HistoryEntry(
        number=call.number,
        kind=call.kind.value,
        name=call.name,
        state=str(call.state),
        role=message.role,
        content=message.content,
    )
    if message.tool_calls:
        entry['tool_calls'] = [
            {'id': one.id, 'name': one.name, 'arguments': one.arguments}
            for one in message.tool_calls
        ]
    if message.tool_call_id:
        entry['tool_call_id'] = message.tool_call_id
    return entry


def describe_wait(program: programs.Program) -> str:
    """Return for operators what an active program waits for."""
    running = program.running
    if running is None:
        return 'its client' if program.is_active else ''
    if running.state is calls.CallState.ACCEPTED:
        return f'a target for call {running.number} ({running.name})'
    return f'{running.target} to answer call {running.number}'
