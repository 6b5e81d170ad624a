"""Types of the responses of instances to operator requests."""

import typing


class InstanceRow(typing.TypedDict, total=False):
    """One instance as reported by an instance.

    Callers reach the instance under ``address``.
    """

    instance: str
    zone: str
    state: str
    config_version: int
    shards: int
    programs: int
    address: str


class TargetRow(typing.TypedDict, total=False):
    """One target with the numbers of its calls."""

    target: str
    kind: str
    state: str
    running: int
    waiting: int
    leaving: bool


class Status(typing.TypedDict, total=False):
    """The response to ``status``."""

    instances: list[InstanceRow]
    targets: list[TargetRow]
    version: int
    store: dict[str, typing.Any]


class AddressRow(typing.TypedDict, total=False):
    """One address that callers may use."""

    address: str
    instance: str
    zone: str
