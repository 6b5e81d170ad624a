"""Checks of the process settings file."""

import functools
import typing
import urllib.parse

from vanillayoke.settings import checks
from vanillayoke.settings import decoding
from vanillayoke.settings import process
from vanillayoke.settings import value_checks

_PROCESS = checks.Scope.PROCESS
CHOICES = {'store.unavailable': process.UNAVAILABLE}
_MIN_KEY_LENGTH = 16
_POSITIVE = (
    'platform.timeout',
    'lease.time_to_live',
    'lease.margin',
    'store.writes_per_second',
    'store.shortest_commit_interval',
    'store.retention',
    'probe.interval',
    'probe.timeout',
    'probe.suspicion',
    'entry.largest_body',
    'entry.address_lifetime',
    'entry.body_timeout',
    'entry.slow_reader_timeout',
    'timeline_events',
)
_ADDRESSES = ('instance.entry_address', 'instance.peer_address')
_LISTENS = ('instance.entry_listen', 'instance.peer_listen')
_URLS = (
    'platform.table',
    'platform.objects',
    'platform.weights',
    'platform.instances',
)


_add = functools.partial(checks.add_check, _PROCESS)
_add(
    'E301',
    'A number of the process settings must be above 0.',
    'Give a number above 0.',
    functools.partial(value_checks.check_positive, _POSITIVE),
)
_add(
    'E302',
    'A number of the process settings must not be below 0.',
    'Give 0 or more.',
    functools.partial(
        value_checks.check_not_negative,
        ('entry.drain_grace', 'probe.indirect'),
    ),
)
_add(
    'E303',
    'An address of the instance is not IP:PORT.',
    'Write it like 10.0.0.7:8000; host names are not looked up.',
    functools.partial(value_checks.check_addresses, _ADDRESSES),
)
_add(
    'E304',
    'A name of the instance is empty.',
    'Give the name.',
    functools.partial(
        value_checks.check_present,
        ('instance.name', 'instance.zone', 'instance.region'),
    ),
)
_add(
    'E305',
    'A text of the process settings is not on the list of allowed ones.',
    'Take one of the names listed in docs/reference/settings.md.',
    functools.partial(value_checks.check_choices, CHOICES),
)


@checks.register(
    _PROCESS,
    'E306',
    'A listening address is not IP:PORT.',
    'Write it like 0.0.0.0:8000, or leave it out to listen on the address '
    'itself.',
)
def check_listens(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find listening addresses that are given but invalid."""
    for pattern in _LISTENS:
        for path, value in values.select(pattern):
            problem = (
                value_checks.find_address_problem(value) if value else None
            )
            if problem:
                yield checks.Finding(path, problem)


@checks.register(
    _PROCESS,
    'E307',
    "A URL of the platform's services is not usable.",
    'Write it like http://10.0.0.9:8500, with IP address and port.',
)
def check_urls(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find URLs that are not http or https to an ``IP:PORT``."""
    for pattern in _URLS:
        for path, value in values.select(pattern):
            problem = find_url_problem(value)
            if problem:
                yield checks.Finding(path, problem)


def find_url_problem(url: str) -> str | None:
    """Return what is wrong with a service's base URL, if anything."""
    try:
        parts = urllib.parse.urlsplit(url)
    except ValueError as error:
        return f'"{url}" is not a URL: {error}.'
    if parts.scheme not in ('http', 'https'):
        return f'"{url}" is neither http nor https.'
    if parts.username or parts.password:
        return 'The URL contains a user name or password.'
    if parts.query or parts.fragment:
        return f'"{url}" has a query or fragment.'
    return value_checks.find_address_problem(parts.netloc)


@checks.register(
    _PROCESS,
    'E308',
    'Both addresses of the instance are the same.',
    'Give callers and instances a port each.',
)
def check_ports(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find instances whose two listeners would use the same port."""
    peer_path = ('instance', 'peer_address')
    peer = values.find('instance.peer_address', peer_path)
    entry = values.find(
        'instance.entry_address', ('instance', 'entry_address')
    )
    if peer is not None and peer == entry:
        yield checks.Finding(peer_path, f'"{peer}" is also the entry address.')


@checks.register(
    _PROCESS,
    'E309',
    'The lease margin leaves the holder no time to work.',
    'Make margin less than half of time_to_live.',
)
def check_margin(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find margins that take up half of the lease or more."""
    lease = values.find('lease', ('lease',))
    if lease is None or lease.time_to_live <= 0:
        return
    if lease.margin * 2 >= lease.time_to_live:
        text = f'{lease.margin} s of {lease.time_to_live} s.'
        yield checks.Finding(('lease', 'margin'), text)


@checks.register(
    _PROCESS,
    'E310',
    'A call to the store may take as long as the lease.',
    'Make platform.timeout less than half of lease.time_to_live, so that a '
    'renewal can be tried again before the lease ends.',
)
def check_platform_timeout(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find timeouts that leave no time to retry a lease renewal."""
    lease = values.find('lease', ('lease',))
    platform = values.find('platform', ('platform',))
    if lease is None or platform is None or lease.time_to_live <= 0:
        return
    if platform.timeout * 2 >= lease.time_to_live:
        text = f'{platform.timeout} s, lease {lease.time_to_live} s.'
        yield checks.Finding(('platform', 'timeout'), text)


@checks.register(
    _PROCESS,
    'E311',
    'The operator key is too short to be safe.',
    f'Take at least {_MIN_KEY_LENGTH} characters from a random source.',
)
def check_operator_key(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find keys that are too short; the text does not contain them."""
    for path, key in values.select('operator_key'):
        if 0 < len(key) < _MIN_KEY_LENGTH:
            yield checks.Finding(path, f'It has {len(key)} characters.')


@checks.register(
    _PROCESS,
    'E312',
    'The key that signs orders is incomplete or too short to be safe.',
    f'Set key_id and a secret of at least {_MIN_KEY_LENGTH} characters.',
)
def check_signing_key(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find signing keys that are incomplete or too short."""
    key_ids = dict(values.select('signing.key_id'))
    secrets = dict(values.select('signing.secret'))
    has_id = any(key_ids.values())
    for path, secret in secrets.items():
        if has_id and len(secret) < _MIN_KEY_LENGTH:
            yield checks.Finding(path, f'It has {len(secret)} characters.')
        if secret and not has_id:
            yield checks.Finding(path, 'It has no key_id.')
    if has_id and not secrets:
        path = next(iter(key_ids))
        yield checks.Finding(path, 'It has no secret.')


@checks.register(
    _PROCESS,
    'W301',
    'There is no operator key, so that operators are refused.',
    'Set operator_key to use status, drain, explain and timeline.',
)
def check_operator_access(
    values: decoding.Values,
) -> typing.Iterator[checks.Finding]:
    """Find instances without an operator key."""
    if not values.find('operator_key', ('operator_key',)):
        yield checks.Finding(('operator_key',), 'No operator key is set.')
