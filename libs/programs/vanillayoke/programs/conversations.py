"""The conversation of a program: append-only, in the order of its calls."""

import dataclasses
import typing

from vanillayoke.programs import calls
from vanillayoke.programs import records


@dataclasses.dataclass(slots=True)
class Conversation:
    """The messages that an engine reads.

    ``pending`` are the last answer's tool requests that have no call yet;
    ``text_length`` counts the characters of all messages.
    """

    messages: list[records.Message] = dataclasses.field(default_factory=list)
    pending: list[records.ToolRequest] = dataclasses.field(
        default_factory=list
    )
    text_length: int = 0

    def add_call(self, call: calls.Call) -> None:
        """Append what an accepted call brings with it."""
        self._append(call.messages)
        if call.kind is records.CallKind.MODEL:
            self.pending.clear()
        else:
            self._take_pending(call.tool_call_id)

    def add_result(self, call: calls.Call) -> None:
        """Append what a final call leaves behind."""
        self._append(call.list_result())
        is_model = call.kind is records.CallKind.MODEL
        if is_model and call.message is not None:
            self.pending = list(call.message.tool_calls)

    def _append(self, messages: typing.Iterable[records.Message]) -> None:
        for message in messages:
            self.messages.append(message)
            self.text_length += measure_message(message)

    def _take_pending(self, tool_call_id: str) -> None:
        for index, request in enumerate(self.pending):
            if request.id == tool_call_id:
                del self.pending[index]
                return


def measure_message(message: records.Message) -> int:
    """Return the characters of a message that an engine reads."""
    requests = sum(
        len(request.name) + len(request.arguments)
        for request in message.tool_calls
    )
    return len(message.content) + requests
