"""Load on an engine: calls sent directly and through an instance."""

import asyncio
import json
import random
import time
import typing

import aiohttp

CLIENT_KEY = 'bench-client-key'
AGENT = 'writer'
_MAX_TOKENS = 512
_DEADLINE = 600.0
_OPENING_AT_ONCE = 8
_DIRECT_MARK = b'"content"'
_THROUGH_MARK = b'event: text'


class Reading(typing.NamedTuple):
    """One streamed answer; times in seconds of the load's clock."""

    text: str
    sent_at: float
    first_at: float
    ended_at: float
    reads: int

    @property
    def first_token(self) -> float:
        """Return the seconds from the request to the first text."""
        return self.first_at - self.sent_at


class Job(typing.NamedTuple):
    """One call: when it starts, its text, its program and its engine."""

    starts_at: float
    text: str
    program: str
    engine: str


class LoadClient:
    """Sends calls and reads their streams; parses them only at the end."""

    def __init__(
        self, session: aiohttp.ClientSession, entry: str, model: str
    ) -> None:
        self._session = session
        self._base = f'http://{entry}/v1/programs'
        self._model = model
        self._headers = {'Authorization': f'Bearer {CLIENT_KEY}'}
        self._calls = 0

    async def open_programs(self, count: int) -> list[str]:
        """Open programs, a few at a time; return their ids."""
        gate = asyncio.Semaphore(_OPENING_AT_ONCE)

        async def open_one() -> str:
            async with gate:
                answer = await self._post(
                    self._base, {'agent': AGENT, 'deadline': _DEADLINE}
                )
            return answer['program']

        return list(await asyncio.gather(*[open_one() for _ in range(count)]))

    async def end_programs(self, programs: typing.Iterable[str]) -> None:
        """End programs, so that the next round does not meet them."""
        gate = asyncio.Semaphore(_OPENING_AT_ONCE)

        async def end_one(program: str) -> None:
            async with gate:
                await self._post(f'{self._base}/{program}/end', None)

        await asyncio.gather(*[end_one(one) for one in programs])

    async def ask_directly(self, job: Job) -> Reading:
        """Stream a call from its engine."""
        body = {
            'model': self._model,
            'messages': [{'role': 'user', 'content': job.text}],
            'max_tokens': _MAX_TOKENS,
            'priority': 0,
            'prompt_cache_key': self._make_key(),
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        headers = {'X-Request-Id': self._make_key()}
        url = f'http://{job.engine}/v1/chat/completions'
        return await self._read(url, body, headers, _DIRECT_MARK, join_direct)

    async def ask_through(self, job: Job) -> Reading:
        """Stream a call through the instance."""
        body = {'mode': 'call', 'text': job.text, 'stream': True}
        headers = {**self._headers, 'Idempotency-Key': self._make_key()}
        url = f'{self._base}/{job.program}/calls'
        return await self._read(
            url, body, headers, _THROUGH_MARK, join_through
        )

    def _make_key(self) -> str:
        self._calls += 1
        return f'bench-{self._calls}'

    async def _post(
        self, url: str, body: dict[str, typing.Any] | None
    ) -> dict[str, typing.Any]:
        headers = {**self._headers, 'Idempotency-Key': self._make_key()}
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            response.raise_for_status()
            return await response.json()

    async def _read(
        self,
        url: str,
        body: dict[str, typing.Any],
        headers: dict[str, str],
        mark: bytes,
        join: typing.Callable[[bytes], str],
    ) -> Reading:
        blocks: list[bytes] = []
        first_at = 0.0
        sent_at = time.monotonic()
        async with self._session.post(
            url, json=body, headers=headers
        ) as response:
            response.raise_for_status()
            while block := await response.content.readany():
                if not first_at and mark in block:
                    first_at = time.monotonic()
                blocks.append(block)
        ended_at = time.monotonic()
        text = join(b''.join(blocks))
        return Reading(text, sent_at, first_at, ended_at, len(blocks))


def join_direct(body: bytes) -> str:
    """Return the text of an engine's stream."""
    texts = []
    for event in body.split(b'\n\n'):
        if not event.startswith(b'data: {'):
            continue
        for choice in json.loads(event[6:])['choices']:
            texts.append(choice['delta'].get('content') or '')
    return ''.join(texts)


def join_through(body: bytes) -> str:
    """Return the text of an instance's stream.

    Raise ``ValueError`` where it does not end with a whole answer.
    """
    text = ''
    final = None
    for event in body.split(b'\n\n'):
        name, _, rest = event.partition(b'\n')
        data = rest.rpartition(b'data: ')[2]
        match name:
            case b'event: text':
                piece = json.loads(data)
                text = text[: piece['offset']] + piece['text']
            case b'event: reset':
                text = text[: json.loads(data)['offset']]
            case b'event: done':
                final = json.loads(data)
            case b'event: error':
                raise ValueError(data.decode())
    if final is None or final['text'] != text:
        raise ValueError('a stream without its whole answer')
    return text


def plan_arrivals(
    source: random.Random, seconds: float, rate: float
) -> list[float]:
    """Draw the times of independent calls; their number is fixed."""
    count = round(seconds * rate)
    return sorted(source.uniform(0.0, seconds) for _ in range(count))


def write_text(source: random.Random, tokens: int) -> str:
    """Return a user's text that the stand-in answers with ``tokens``."""
    return f'Question {source.getrandbits(32)} [[say:{tokens}]]'


async def run_jobs(
    ask: typing.Callable[[Job], typing.Awaitable[Reading]],
    jobs: typing.Sequence[Job],
) -> list[Reading]:
    """Start each job at its time, whatever the others do."""
    begin = time.monotonic()

    async def run_one(job: Job) -> Reading:
        await asyncio.sleep(begin + job.starts_at - time.monotonic())
        return await ask(job)

    return list(await asyncio.gather(*[run_one(job) for job in jobs]))
