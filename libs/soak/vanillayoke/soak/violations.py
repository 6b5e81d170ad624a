"""Violations of guarantees."""

import typing


class Violation(typing.NamedTuple):
    """A violated guarantee, and the request or process concerned."""

    guarantee: str
    subject: str
    detail: str
