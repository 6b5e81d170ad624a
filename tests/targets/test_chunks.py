"""Tests of the stream parser."""

import msgspec

from vanillayoke.core import failures
from vanillayoke.targets import chunks
from vanillayoke.targets import ports
from vanillayoke.testing import fixtures


def write_event(delta=None, stream_id='a', **fields) -> bytes:
    choice = {'index': 0, 'delta': delta or {}, 'finish_reason': None}
    choice.update(fields)
    chunk = {'id': stream_id, 'choices': [choice]}
    return b'data: ' + msgspec.json.encode(chunk) + b'\n\n'


def write_tool(**part) -> bytes:
    return write_event({'tool_calls': [part]})


END = write_event(finish_reason='stop') + b'data: [DONE]\n\n'
USAGE = (
    b'data: {"id":"a","choices":[],"usage":{"prompt_tokens":9,'
    b'"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}}\n\n'
)
STREAM = (
    b': alive\n\n'
    + write_event({'role': 'assistant', 'content': 'Dlaždice '})
    + write_event({'content': 'data: {"a"}\n\n'})
    + write_event(finish_reason='stop')
    + USAGE
    + b'data: [DONE]\n\n'
)
ANSWER = ports.Completion(
    'Dlaždice data: {"a"}\n\n', (), 'stop', ports.Usage(9, 4, 2)
)


def feed_all(data: bytes, cuts=()) -> tuple[chunks.AnswerParser, list]:
    parser = chunks.AnswerParser()
    bounds = [0, *cuts, len(data)]
    pieces = [
        parser.feed(data[a:b])
        for a, b in zip(bounds, bounds[1:], strict=False)
    ]
    return parser, pieces


def test_one_read_gives_one_delta(case):
    parser, pieces = feed_all(STREAM)
    case.assertEqual([ports.Delta(ANSWER.text, 2)], pieces)
    case.assertEqual(ANSWER, parser.complete(0))


def test_reads_may_be_cut_anywhere(case):
    """A word goes missing or its letters change within an answer.

    The network cuts the stream at any byte, also within a character of
    two bytes and between the two line ends that close an event.
    """
    for stream in (STREAM, STREAM.replace(b'\n', b'\r\n')):
        for cut in range(1, len(stream)):
            parser, pieces = feed_all(stream, [cut])
            case.assertTrue(parser.is_done)
            case.assertEqual(ANSWER, parser.complete(0))
            text = ''.join(piece.text for piece in pieces)
            case.assertEqual(ANSWER.text, text)


def test_tool_calls_are_joined_from_their_parts(case):
    parser, _ = feed_all(
        write_tool(index=0, id='t0', function={'name': 'find'})
        + write_tool(index=1, id='t1', function={'name': 'order'})
        + write_tool(index=0, function={'arguments': '{"a":'})
        + write_tool(index=1, function={'arguments': '{}'})
        + write_tool(index=0, function={'arguments': '1}'})
        + END
    )
    first, second = parser.complete(0).tool_calls
    case.assertEqual(
        {'id': 't0', 'name': 'find', 'arguments': '{"a":1}'}, first
    )
    case.assertEqual(('order', '{}'), (second['name'], second['arguments']))


def test_missing_usage_is_counted(case):
    parser, _ = feed_all(write_event({'content': 'a'}) * 3 + END)
    case.assertEqual(ports.Usage(7, 0, 3), parser.complete(7).usage)


def test_bytes_behind_the_end_change_nothing(case):
    parser, _ = feed_all(STREAM + STREAM)
    case.assertEqual(ANSWER, parser.complete(0))


def test_piece_of_another_answer_is_refused(case):
    """A client reads a sentence of another client's conversation.

    A target sends a piece of one answer into the stream of another; only
    the id within the piece tells.
    """
    own = write_event({'content': 'mine '})
    foreign = write_event({'content': 'theirs'}, stream_id='b')
    _, pieces = feed_all(own + foreign, [len(own)])
    case.assertEqual(failures.Kind.TARGET_FAILED, pieces[1].kind)


def test_unusable_streams_are_refused(case):
    long_event = b'data: ' + b'x' * (chunks.LARGEST_EVENT + 1)
    text = 'x' * (chunks.LARGEST_TEXT + 1)
    many = b''.join(write_tool(index=i) for i in range(200))
    streams = {
        'json': b'data: {"id":\n\n',
        'type': b'data: {"choices": 5}\n\n',
        'utf8': b'data: {"id": "\xff"}\n\n',
        'error': b'data: {"id": "a", "error": {"message": "x"}}\n\n',
        'long event': long_event,
        'long answer': write_event({'content': text}),
        'many tools': many,
    }
    for name, stream in streams.items():
        with case.subTest(name):
            _, pieces = feed_all(stream)
            case.assertTrue(failures.is_failure(pieces[0]))
            case.assertEqual(failures.Kind.TARGET_FAILED, pieces[0].kind)


def test_end_without_a_finish_reason_is_refused(case):
    parser, _ = feed_all(b'data: [DONE]\n\n')
    case.assertEqual(failures.Kind.TARGET_FAILED, parser.complete(0).kind)


load_tests = fixtures.adapt(__name__)
