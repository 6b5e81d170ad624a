"""Settings of one process: who it is and where the platform is."""

import msgspec

UNAVAILABLE = ('refuse', 'wait')


class InstanceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Who this process is; addresses are ``IP:PORT``.

    ``entry_address`` is for callers and operators, ``peer_address`` for
    the other instances; the ``*_listen`` ones differ only behind a
    translation of addresses.
    """

    name: str
    zone: str
    region: str
    entry_address: str
    peer_address: str
    entry_listen: str = ''
    peer_listen: str = ''


class PlatformSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Base URLs of the platform's services; ``timeout`` in seconds."""

    table: str
    objects: str
    weights: str
    instances: str
    timeout: float = 2.0


class LeaseSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Lease times in seconds.

    ``margin`` is added by a taker and taken off by the holder.
    """

    time_to_live: float = 6.0
    margin: float = 0.5


class StoreSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """How much of the platform's store all instances may use together.

    ``unavailable`` says what happens to a non-idempotent call while the
    store is down: ``refuse`` at once, or ``wait`` to its deadline. An
    ended program can be read for ``retention`` seconds.
    """

    writes_per_second: float = 300.0
    shortest_commit_interval: float = 0.01
    unavailable: str = 'refuse'
    retention: float = 3600.0


class ProbeSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Membership probing between instances, in seconds."""

    interval: float = 0.5
    timeout: float = 0.25
    suspicion: float = 2.0
    indirect: int = 2


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Bounds of the callers' interface; sizes in bytes, times in seconds."""

    largest_body: int = 8 * 1024 * 1024
    address_lifetime: float = 30.0
    body_timeout: float = 10.0
    slow_reader_timeout: float = 30.0
    drain_grace: float = 20.0


class SigningSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The key that signs orders to targets with ``signed_orders``.

    While keys rotate, targets accept the old and the new one; instances
    are then restarted with the new one.
    """

    key_id: str = ''
    secret: str = ''


class ProcessSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The whole settings file of ``vanillayoke serve``."""

    instance: InstanceSettings
    platform: PlatformSettings
    lease: LeaseSettings = LeaseSettings()
    store: StoreSettings = StoreSettings()
    probe: ProbeSettings = ProbeSettings()
    entry: EntrySettings = EntrySettings()
    signing: SigningSettings = SigningSettings()
    operator_key: str = ''
    timeline_events: int = 20000
