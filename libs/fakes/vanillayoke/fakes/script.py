"""The answers of the stand-in engines: a function of the messages alone.

The last user message directs the answer by ``[[tool:NAME {json}]]``,
``[[child:AGENT text]]`` and ``[[say:WORDS]]``; a child's text may hold
directives itself.
"""

import json
import random
import re
import typing


from vanillayoke.targets import ports

_BRACKETS = re.compile(r'\[\[|\]\]')
_WORDS = 'oak tile sheet river swatch grid stock crew order slope'.split()
_QUOTED = 60


class Script(typing.NamedTuple):
    """An answer: ``pieces`` hold one token each."""

    pieces: tuple[str, ...]
    tool_calls: tuple[ports.ToolCall, ...]
    finish_reason: str


def count_tokens(messages: typing.Iterable[ports.ChatMessage]) -> int:
    """Return the prompt tokens of messages: four characters make one."""
    return sum(4 + len(m.get('content') or '') // 4 for m in messages)


def write_answer(messages: typing.Sequence[ports.ChatMessage]) -> Script:
    """Return the answer to a history; equal histories give equal ones."""
    users = [i for i, m in enumerate(messages) if m['role'] == 'user']
    last = users[-1] if users else 0
    directives = _split_directives(messages[last].get('content') or '')
    calls = [d for d in directives if not d.startswith('say:')]
    results = [m for m in messages[last:] if m['role'] == 'tool']
    source = random.Random(json.dumps([_list_texts(m) for m in messages]))
    if len(results) < len(calls):
        call = _make_call(calls[len(results)], f'call_{source.getrandbits(64):016x}')
        return Script(('',) * 4, (call,), 'tool_calls')
    counts = [int(d[4:]) for d in directives if d.startswith('say:')]
    words = source.choices(_WORDS, k=counts[-1] if counts else 16)
    if results:
        words += ['Result:', (results[-1].get('content') or '')[:_QUOTED]]
    return Script(tuple(f'{word} ' for word in words), (), 'stop')


def _list_texts(message: ports.ChatMessage) -> list[str]:
    keys = ('role', 'content', 'tool_call_id')
    return [message.get(key) or '' for key in keys]


def _split_directives(text: str) -> list[str]:
    """Return the insides of the outermost double brackets."""
    found, depth, begin = [], 0, 0
    for match in _BRACKETS.finditer(text):
        if match.group() == '[[':
            begin = begin if depth else match.end()
            depth += 1
        elif depth:
            depth -= 1
            if not depth:
                found.append(text[begin : match.start()])
    return [d for d in found if d.startswith(('tool:', 'child:', 'say:'))]


def _make_call(directive: str, call_id: str) -> ports.ToolCall:
    kind, _, rest = directive.partition(':')
    name, _, arguments = rest.partition(' ')
    if kind == 'child':
        arguments = json.dumps({'text': arguments})
    return {'id': call_id, 'name': name, 'arguments': arguments or '{}'}
