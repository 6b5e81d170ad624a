"""Tests of the stand-in engines' answers."""

import json

from vanillayoke.fakes import script
from vanillayoke.testing import fixtures


def say(*texts):
    roles = ('user', 'tool', 'tool')
    messages = zip(roles, texts, strict=False)
    return [{'role': r, 'content': t} for r, t in messages]


def test_equal_histories_give_equal_answers(case):
    one, two = say('a [[say:9]]'), say('b [[say:9]]')
    case.assertEqual(script.write_answer(one), script.write_answer(one))
    case.assertNotEqual(script.write_answer(one), script.write_answer(two))
    case.assertEqual(9, len(script.write_answer(one).pieces))


def test_directives_are_asked_for_in_turn(case):
    text = '[[tool:find {"a": [[1]]}]] [[child:helper do [[say:3]]]]'
    first = script.write_answer(say(text)).tool_calls[0]
    second = script.write_answer(say(text, 'x')).tool_calls[0]
    case.assertEqual(
        ('find', '{"a": [[1]]}'), (first['name'], first['arguments'])
    )
    case.assertEqual('helper', second['name'])
    case.assertEqual('do [[say:3]]', json.loads(second['arguments'])['text'])
    case.assertNotEqual(first['id'], second['id'])
    last = script.write_answer(say(text, 'x', 'result y'))
    case.assertEqual('stop', last.finish_reason)
    case.assertIn('result y', ''.join(last.pieces))


load_tests = fixtures.adapt(__name__)
