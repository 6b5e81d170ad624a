"""The conversation of a program: append-only, in the order of its calls."""

import dataclasses
import typing

from vanillayoke.programs import calls
from vanillayoke.programs import records


@dataclasses.dataclass(slots=True)
class Conversation:
    """The messages that are sent to an engine.

    ``pending`` are the last answer's tool requests that have no call yet;
    ``text_length`` is the number of characters of all messages.
    """

    messages: list[records.Message] = dataclasses.field(default_factory=list)
    pending: list[records.ToolRequest] = dataclasses.field(
        default_factory=list
    )
    text_length: int = 0

    def add_call(self, call: calls.Call) -> None:
        """Append the messages of an accepted call."""
        self._append(call.messages)
        if call.kind is records.CallKind.MODEL:
            self.pending.clear()
        else:
            self._remove_pending(call.tool_call_id)

    def add_result(self, call: calls.Call) -> None:
        """Append the resulting messages of a final call."""
        self._append(call.list_result())
        is_model = call.kind is records.CallKind.MODEL
        if is_model and call.message is not None:
            self.pending = list(call.message.tool_calls)

    def _append(self, messages: typing.Iterable[records.Message]) -> None:
        for message in messages:
            self.messages.append(message)
            self.text_length += measure_message(message)

    def _remove_pending(self, tool_call_id: str) -> None:
        for index, request in enumerate(self.pending):
            if request.id == tool_call_id:
                del self.pending[index]
                return


def measure_message(message: records.Message) -> int:
    """Return the number of characters of a message."""
    request_length = sum(
        len(request.name) + len(request.arguments)
        for request in message.tool_calls
    )
    return len(message.content) + request_length
