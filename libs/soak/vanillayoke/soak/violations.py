"""A promise that a run has broken."""

import typing


class Violation(typing.NamedTuple):
    """A promise that was broken, by which request or process."""

    promise: str
    subject: str
    detail: str
