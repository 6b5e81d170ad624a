"""Parsing of streamed chat completions, whole reads at a time."""

import typing

import msgspec

from vanillayoke.core import failures
from vanillayoke.targets import answers
from vanillayoke.targets import ports

LARGEST_EVENT = 1024 * 1024
LARGEST_TEXT = 8 * 1024 * 1024
_MOST_TOOL_CALLS = 128
_FIELD = b'data:'
_END = b'[DONE]'


class _Function(msgspec.Struct):
    name: str | None = None
    arguments: str | None = None


class _ToolPart(msgspec.Struct):
    index: int = 0
    id: str | None = None
    function: _Function = msgspec.field(default_factory=_Function)


class _ChunkDelta(msgspec.Struct):
    content: str | None = None
    tool_calls: list[_ToolPart] | None = None


class _Choice(msgspec.Struct):
    delta: _ChunkDelta = msgspec.field(default_factory=_ChunkDelta)
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct):
    cached_tokens: int | None = None


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int
    prompt_tokens_details: _PromptDetails | None = None


class _Chunk(msgspec.Struct):
    id: str = ''
    choices: list[_Choice] = []
    usage: _Usage | None = None
    error: msgspec.Raw | None = None


class _ToolCallParts(typing.NamedTuple):
    id: list[str]
    name: list[str]
    arguments: list[str]


_decode_chunk = msgspec.json.Decoder(_Chunk).decode


class AnswerParser:
    """Collects one answer from the bytes of its stream.

    ``is_done`` turns true at the stream's end mark; bytes behind it, such
    as a second end, change nothing.
    """

    def __init__(self) -> None:
        self.is_done = False
        self._rest = b''
        self._stream_id = ''
        self._texts: list[str] = []
        self._size = 0
        self._tokens = 0
        self._tools: dict[int, _ToolCallParts] = {}
        self._finish_reason: str | None = None
        self._usage: _Usage | None = None

    def feed(self, data: bytes) -> ports.Delta | failures.Failure:
        """Take one read's bytes; return all the text that it completes.

        A delta of no tokens tells that no piece was completed.
        """
        if self._rest:
            data = self._rest + data
        if b'\r' in data:
            data = data.replace(b'\r\n', b'\n')
        end = data.rfind(b'\n\n')
        self._rest = data[end + 2 :] if end >= 0 else data
        if len(self._rest) > LARGEST_EVENT:
            return answers.fail_malformed('too long an event')
        if end < 0:
            return ports.Delta('', 0)
        return self._take_events(data[:end].split(b'\n\n'))

    def _take_events(
        self, events: list[bytes]
    ) -> ports.Delta | failures.Failure:
        texts: list[str] = []
        tokens = 0
        for event in events:
            start = event.find(_FIELD)
            if start < 0:
                continue
            payload = event[start + len(_FIELD) :]
            if payload.endswith(_END):
                self.is_done = True
                break
            try:
                chunk = _decode_chunk(payload)
            except msgspec.MsgspecError:
                return answers.fail_malformed('a malformed event')
            if chunk.choices:
                tokens += self._take_choice(chunk.choices[0], texts)
            if chunk.usage is not None:
                self._usage = chunk.usage
            fault = self._find_fault(chunk)
            if fault is not None:
                return fault
        text = ''.join(texts)
        self._texts.append(text)
        self._tokens += tokens
        return ports.Delta(text, tokens)

    def _find_fault(self, chunk: _Chunk) -> failures.Failure | None:
        if chunk.error is not None:
            return answers.fail_malformed('an error within its stream')
        if not self._stream_id:
            self._stream_id = chunk.id
        # Pieces of another call's answer, sent into this stream by a target
        # that mixed up its connections, would reach the wrong client. All
        # chunks of one answer carry the same id, so another id shows it.
        if chunk.id and chunk.id != self._stream_id:
            return answers.fail_malformed("a piece of another call's answer")
        if self._size > LARGEST_TEXT:
            return answers.fail_malformed('too long an answer')
        if len(self._tools) > _MOST_TOOL_CALLS:
            return answers.fail_malformed('too many tool calls')
        return None

    def _take_choice(self, choice: _Choice, texts: list[str]) -> int:
        """Keep what a choice brings; return its tokens."""
        if choice.finish_reason is not None:
            self._finish_reason = choice.finish_reason
        delta = choice.delta
        if delta.tool_calls:
            for part in delta.tool_calls:
                self._take_tool_part(part)
            return 1
        if delta.content is None:
            return 0
        texts.append(delta.content)
        self._size += len(delta.content)
        return 1

    def _take_tool_part(self, part: _ToolPart) -> None:
        parts = self._tools.get(part.index)
        if parts is None:
            parts = self._tools[part.index] = _ToolCallParts([], [], [])
        parts.id.append(part.id or '')
        parts.name.append(part.function.name or '')
        arguments = part.function.arguments or ''
        parts.arguments.append(arguments)
        self._size += len(arguments)

    def complete(
        self, estimated_prompt: int
    ) -> ports.Completion | failures.Failure:
        """Return the whole answer of a stream that is done.

        An engine that sends no usage is counted by the pieces it sent and
        by ``estimated_prompt``.
        """
        if self._finish_reason is None:
            return answers.fail_malformed('no finish reason')
        return ports.Completion(
            ''.join(self._texts),
            tuple(self._join_tool(i) for i in sorted(self._tools)),
            self._finish_reason,
            self._count(estimated_prompt),
        )

    def _join_tool(self, index: int) -> ports.ToolCall:
        parts = self._tools[index]
        return {
            'id': ''.join(parts.id),
            'name': ''.join(parts.name),
            'arguments': ''.join(parts.arguments),
        }

    def _count(self, estimated_prompt: int) -> ports.Usage:
        usage = self._usage
        if usage is None:
            return ports.Usage(estimated_prompt, 0, self._tokens)
        details = usage.prompt_tokens_details
        cached = details.cached_tokens if details else None
        return ports.Usage(
            usage.prompt_tokens, cached or 0, usage.completion_tokens
        )
