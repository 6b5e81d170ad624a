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

_WORDS = 'oak tile sheet river swatch grid stock crew order slope'.split()


class Script(typing.NamedTuple):
    """An answer: ``pieces`` hold one token each."""

    pieces: tuple[str, ...]
    tool_calls: tuple[ports.ToolCall, ...]
    finish_reason: str


def count_tokens(messages: typing.Iterable[ports.ChatMessage]) -> int:
    """Return the prompt tokens of messages: four characters make one."""
    return sum(4 + len(m.get('content') or '') // 4 for m in messages)


def write_answer(
    messages: typing.Sequence[ports.ChatMessage], salt: str = ''
) -> Script:
    """Return the answer to a history; equal histories give equal ones."""
    texts = [(m['role'], m.get('content') or '') for m in messages]
    last = max((i for i, t in enumerate(texts) if t[0] == 'user'), default=0)
    directives = _split_directives(texts[last][1])
    calls = [d for d in directives if not d.startswith('say:')]
    results = [text for role, text in texts[last:] if role == 'tool']
    source = random.Random(salt + json.dumps(texts))
    if len(results) < len(calls):
        call_id = f'call_{source.getrandbits(64):016x}'
        call = _make_call(call_id, calls[len(results)])
        return Script(('',) * 4, (call,), 'tool_calls')
    counts = [int(d[4:]) for d in directives if d.startswith('say:')]
    words = source.choices(_WORDS, k=counts[-1] if counts else 16)
    if results:
        words += ['Result:', results[-1][:60]]
    return Script(tuple(f'{word} ' for word in words), (), 'stop')


def _split_directives(text: str) -> list[str]:
    """Return the insides of the outermost double brackets."""
    found, depth, begin = [], 0, 0
    for match in re.finditer(r'\[\[|\]\]', text):
        if match.group() == '[[':
            begin = begin if depth else match.end()
            depth += 1
        elif depth:
            depth -= 1
            if not depth:
                found.append(text[begin : match.start()])
    return [d for d in found if d.startswith(('tool:', 'child:', 'say:'))]


def _make_call(call_id: str, directive: str) -> ports.ToolCall:
    kind, _, rest = directive.partition(':')
    name, _, text = rest.partition(' ')
    arguments = json.dumps({'text': text}) if kind == 'child' else text
    return {'id': call_id, 'name': name, 'arguments': arguments or '{}'}
