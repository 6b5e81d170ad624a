"""Requests in the chat completions protocol."""

import typing

import msgspec

from vanillayoke.targets import ports

_CHARACTERS_PER_TOKEN = 4


class _StreamOptions(msgspec.Struct):
    include_usage: bool = True


class _ChatRequest(msgspec.Struct, omit_defaults=True):
    model: str
    messages: list[dict[str, typing.Any]]
    max_tokens: int
    priority: int
    prompt_cache_key: str
    tools: list[dict[str, typing.Any]] = []
    stream: typing.Literal[True] | None = None
    stream_options: _StreamOptions | None = None


def encode_request(request: ports.EngineRequest) -> bytes:
    """Return the body of a streamed model call."""
    return msgspec.json.encode(
        _ChatRequest(
            model=request.model,
            messages=[_write_message(m) for m in request.messages],
            max_tokens=request.max_tokens,
            priority=request.priority,
            prompt_cache_key=request.session,
            tools=[{'type': 'function', 'function': t} for t in request.tools],
            stream=True,
            stream_options=_StreamOptions(),
        )
    )


def _write_message(message: ports.ChatMessage) -> dict[str, typing.Any]:
    if 'tool_calls' not in message:
        return dict(message)
    calls = [
        {
            'id': call['id'],
            'type': 'function',
            'function': {
                'name': call['name'],
                'arguments': call['arguments'],
            },
        }
        for call in message['tool_calls']
    ]
    return {**message, 'tool_calls': calls}


def estimate_prompt(request: ports.EngineRequest) -> int:
    """Return about how many tokens a request's messages have."""
    size = sum(len(m.get('content') or '') for m in request.messages)
    return size // _CHARACTERS_PER_TOKEN
