"""Simulated engine with continuous batching, urgency levels and preemption."""

import typing

from vanillayoke.emulator import scenarios


class Execution:
    """A turn at an engine.

    ``left`` is the remaining work, with the prefill converted to tokens.
    """

    def __init__(
        self, turn: typing.Any, urgency: int, work: float, prefill: float
    ) -> None:
        self.turn = turn
        self.urgency = urgency
        self.prefill = prefill
        self.left = work + prefill
        self.has_started = False


class Engine:
    """One engine; ``advance`` moves its time forward."""

    def __init__(self, name: str, zone: str, sizes: scenarios.Engines) -> None:
        self.name = name
        self.zone = zone
        self.slots = sizes.slots
        self._sizes = sizes
        self.slowdown_factor = 1.0
        self.running: list[Execution] = []
        self.waiting: list[Execution] = []
        self._advanced_to = 0.0
        # Changes with each change of the batch, which invalidates scheduled
        # ends of turns.
        self.version = 0
        self.preempted = 0

    @property
    def load(self) -> int:
        """The number of running and waiting turns."""
        return len(self.running) + len(self.waiting)

    def advance(self, now: float) -> None:
        """Let the running turns progress until now."""
        if self.running:
            tokens = (now - self._advanced_to) / self._compute_token_time()
            for execution in self.running:
                execution.left -= tokens
        self._advanced_to = now

    def add(self, execution: Execution, now: float) -> bool:
        """Queue a turn; return whether the queue had room for it."""
        if len(self.waiting) >= self._sizes.queue:
            return False
        self.advance(now)
        self.waiting.append(execution)
        self._admit()
        return True

    def remove(self, execution: Execution, now: float) -> None:
        """Remove a completed or abandoned turn."""
        self.advance(now)
        for executions in (self.running, self.waiting):
            if execution in executions:
                executions.remove(execution)
        self._admit()

    def get_next_end(self) -> tuple[float, Execution] | None:
        """Return the end of the running turn that ends first, and the turn."""
        if not self.running:
            return None
        execution = min(self.running, key=lambda candidate: candidate.left)
        duration = max(0.0, execution.left) * self._compute_token_time()
        return self._advanced_to + duration, execution

    def _compute_token_time(self) -> float:
        batch = len(self.running)
        token = self._sizes.step_ms + self._sizes.slot_ms * batch
        return token * self.slowdown_factor / 1000

    def _admit(self) -> None:
        """Start the most urgent turns, preempting the least urgent ones."""
        self.version += 1
        self.waiting.sort(key=lambda execution: execution.urgency)
        while self.waiting:
            first = self.waiting[0]
            if len(self.running) >= self.slots:
                last = max(
                    self.running, key=lambda execution: execution.urgency
                )
                if last.urgency <= first.urgency:
                    return
                self.running.remove(last)
                # Its prompt has to be processed again.
                last.left += last.prefill
                self.waiting.append(last)
                self.preempted += 1
            self.waiting.remove(first)
            first.has_started = True
            self.running.append(first)
