"""Settings of one process: its identity and the platform's addresses."""

import msgspec

UNAVAILABLE = ('refuse', 'wait')


class InstanceSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Name, location and addresses of the instance.

    Addresses are ``IP:PORT``. ``entry_address`` is for callers and operators,
    ``peer_address`` for the other instances. The ``*_listen`` fields are
    needed only behind network address translation.
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

    The holder stops acting ``margin`` before its lease expires; a watcher
    waits ``margin`` after the expiry before it takes over.
    """

    time_to_live: float = 6.0
    margin: float = 0.5


class StoreSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Use of the platform's store.

    ``writes_per_second`` applies to all instances together. ``unavailable``
    says what happens to a non-idempotent call while the store is unavailable:
    ``refuse`` it at once, or ``wait`` until its deadline. An ended program can
    be read for ``retention`` seconds.
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
    """Limits of the callers' interface; sizes in bytes, times in seconds."""

    largest_body: int = 8 * 1024 * 1024
    address_lifetime: float = 30.0
    body_timeout: float = 10.0
    slow_reader_timeout: float = 30.0
    drain_grace: float = 20.0


class SigningSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """The key that signs orders to targets with ``signed_orders``.

    To rotate the key, configure targets to accept both keys, then restart
    the instances with the new one.
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
