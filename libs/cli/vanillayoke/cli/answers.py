"""The shapes of instances' answers to operators."""

import typing


class InstanceRow(typing.TypedDict, total=False):
    """One instance as another sees it; ``address`` is for callers."""

    instance: str
    zone: str
    state: str
    config_version: int
    shards: int
    programs: int
    address: str


class TargetRow(typing.TypedDict, total=False):
    """One target and its calls."""

    target: str
    kind: str
    state: str
    running: int
    waiting: int
    leaving: bool


class Status(typing.TypedDict, total=False):
    """The answer to ``status``."""

    instances: list[InstanceRow]
    targets: list[TargetRow]
    version: int
    store: dict[str, typing.Any]


class AddressRow(typing.TypedDict, total=False):
    """One address that callers may use."""

    address: str
    instance: str
    zone: str
