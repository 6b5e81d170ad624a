"""Tests of what a caller is told of each kind of failure."""

import json

from vanillayoke.core import failures
from vanillayoke.entry import answers
from vanillayoke.testing import fixtures


def test_every_kind_gives_its_status(case):
    for kind, answer in failures.ANSWERS.items():
        response = answers.make_error(failures.Failure(kind, 'why'))
        error = json.loads(response.body)['error']
        case.assertEqual(answer.status, response.status, kind)
        case.assertEqual(kind.value, error['kind'])
        case.assertEqual(answer.ran.value, error['ran'])
        case.assertEqual(answer.may_retry, error['may_retry'])
        case.assertEqual(answer.text, error['text'])


def test_retry_after_is_rounded_up(case):
    for seconds, header in ((0.0, '1'), (0.2, '1'), (1.2, '2')):
        failure = failures.Failure(failures.Kind.OVERLOADED, 'x', seconds)
        response = answers.make_error(failure)
        case.assertEqual(header, response.headers['Retry-After'])


load_tests = fixtures.adapt(__name__)
