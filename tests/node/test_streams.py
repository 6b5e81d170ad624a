"""Tests of the text that readers of a run follow."""

import asyncio
import random

from vanillayoke.core import failures
from vanillayoke.entry import host
from vanillayoke.node import streams
from vanillayoke.testing import fixtures

FINAL = failures.Failure(failures.Kind.CANCELLED, 'the end')


async def collect(stream, offset=0) -> tuple[str, int]:
    """Return the text that a reader has at the end, and its resets."""
    text = '.' * offset
    resets = 0
    async for item in stream.follow(offset):
        match item:
            case host.TextPiece(begin, piece):
                assert begin == len(text), (begin, text)
                text += piece
            case host.TextReset(begin):
                text = text[:begin]
                resets += 1
    return text, resets


async def test_readers_get_the_text_from_any_offset(case):
    words = [*'žluťoučký', '', 'river', '']
    whole = ''.join(words)
    for offset in range(len(whole) + 1):
        stream = streams.RunStream(1, words[0])
        reader = asyncio.ensure_future(collect(stream, offset))
        for word in words[1:]:
            stream.append(word)
            await asyncio.sleep(0)
        stream.finish(FINAL)
        text, resets = await reader
        had = text.count('.')
        case.assertEqual(whole[had:], text[had:])
        case.assertEqual(had < offset, resets == 1)
        text, resets = await collect(stream, offset)
        case.assertEqual((whole[offset:], 0), (text[offset:], resets))


async def test_a_call_that_runs_again_replaces_its_text(case):
    """A reader sees words of a lost attempt between those of the next.

    An engine dies half-way and another answers the call anew. Readers have
    read up to different places by then, one of them not at all.
    """
    for seed in range(50):
        source = random.Random(seed)
        stream = streams.RunStream(1, 'kept ')
        readers = [asyncio.ensure_future(collect(stream)) for _ in range(2)]
        expected = 'kept '
        for _ in range(source.randrange(20)):
            if source.random() < 0.3:
                expected = expected[: source.randrange(len(expected)) + 1]
                stream.truncate(len(expected))
            else:
                piece = f'{source.random()}'[: source.randrange(5)]
                expected += piece
                stream.append(piece)
            if source.random() < 0.5:
                await asyncio.sleep(0)
        stream.finish(FINAL)
        late = await collect(stream)
        case.assertEqual((expected, 0), late)
        for reader in readers:
            case.assertEqual(expected, (await reader)[0])


load_tests = fixtures.adapt(__name__)
