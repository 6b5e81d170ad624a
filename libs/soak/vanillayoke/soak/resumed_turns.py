"""Callers that leave streams of kept turns, resume them and go on from them.

The next turn's server must get all events that the caller got, over all
responses of the turn before.
"""

import asyncio
import random

from vanillayoke.soak import callers as callers_module
from vanillayoke.soak import histories
from vanillayoke.soak import organisations
from vanillayoke.soak import records
from vanillayoke.soak import streams

ROUTE = streams.KEPT_ROUTE
CALLER_COUNT = 2
TURN_COUNT = 4
MAX_TRIES = 6
BUDGET = 100 * callers_module.TURN_TOKENS
LEAVING_RATIO = 0.5
# Most of these leave a stream after some of its events.
LEAVING_SECONDS = (0.03, 0.12)
PAUSE_SECONDS = (0.0, 0.3)


class LeavingCaller(callers_module.Caller):
    """A caller that often leaves in the middle of a stream."""

    def choose_patience(self) -> float | None:
        """Return the seconds after which it leaves, ``None`` to stay."""
        if self._rng.random() < LEAVING_RATIO:
            return self._rng.uniform(*LEAVING_SECONDS)
        return None


class ResumedTurns:
    """Runs conversations whose turns are broken off and resumed."""

    def __init__(
        self, callers: callers_module.Callers, rng: random.Random
    ) -> None:
        self._callers = callers
        self._rng = rng

    async def run(self) -> None:
        """Run conversations until the callers are over."""
        caller = LeavingCaller(self._callers)
        try:
            while not self._callers.is_over:
                await self._run_conversation(caller)
        finally:
            caller.pool.close()

    async def _run_conversation(self, caller: LeavingCaller) -> None:
        program = f't{self._callers.take_number()}'
        organisation = self._rng.choice(organisations.NAMES)
        conversation = callers_module.Conversation(
            program,
            f'{program}.0',
            ROUTE,
            BUDGET,
            self._callers.get_key(organisation),
        )
        previous: str | None = ''
        for number in range(TURN_COUNT):
            body = f'input {number} of {program};'
            previous = await self._run_turn(
                caller, conversation, body, previous
            )
            if previous is None or self._callers.is_over:
                return

    async def _run_turn(
        self,
        caller: LeavingCaller,
        conversation: callers_module.Conversation,
        body: str,
        previous: str,
    ) -> str | None:
        """Return the request whose response ended a turn, if one did."""
        resumption: streams.Resumption | None = None
        for _ in range(MAX_TRIES):
            answered = await self._callers.send_attempt(
                caller,
                ROUTE,
                'stream',
                conversation,
                session=conversation.session,
                budget=conversation.budget,
                previous=previous,
                target=f'/{ROUTE}/{conversation.program}',
                body=body,
                resumption=resumption,
            )
            if answered.status == 200 and answered.is_whole:
                return answered.request
            resumption = _decide(resumption, answered)
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        return None


def _decide(
    resumption: streams.Resumption | None, answered: records.Answered
) -> streams.Resumption | None:
    """Return how to go on after a response, ``None`` to begin anew."""
    if answered.status not in (0, 200):
        return None
    return streams.make_resumption(resumption, answered)


def make_route(kept: dict, resumable: dict) -> dict:
    """Return a route that has the fields of two others."""
    return {**resumable, **kept, 'name': ROUTE, 'prefix': f'/{ROUTE}/'}


def count_subjects(history: histories.History) -> dict[str, int]:
    """Count the kept turns that callers resumed, and those behind them."""
    sent_turns = [
        sent
        for sent in history.sent.values()
        if sent.target.startswith(f'/{ROUTE}/')
    ]
    resumed = [sent for sent in sent_turns if sent.resumed]
    answers = [history.answered.get(sent.request) for sent in resumed]
    return {
        'kept turns resumed': len(resumed),
        'of these refused': sum(
            answer is not None and answer.status == 503 for answer in answers
        ),
        'ended whole': sum(
            answer is not None and answer.status == 200 and answer.is_whole
            for answer in answers
        ),
        'run behind one of these': sum(
            bool(sent.previous)
            and bool(history.sent[sent.previous].resumed)
            and sent.request in history.started
            for sent in sent_turns
        ),
    }
