"""Requests of an operator to instances."""

import typing

import aiohttp
import msgspec

from vanillayoke.core import failures

DEFAULT_TIMEOUT = 10.0
_LARGEST_ANSWER = 64 * 1024 * 1024
_ERROR_STATUS = 400

Answer = dict[str, typing.Any]


class Unreachable(typing.NamedTuple):
    """An instance gave no answer that can be used."""

    address: str
    reason: str


class Refused(typing.NamedTuple):
    """An instance refused; ``kind`` is one of ``core.failures``."""

    address: str
    kind: str
    text: str


class _ErrorDetail(msgspec.Struct, frozen=True):
    kind: str = ''
    text: str = ''
    reason: str = ''


class _ErrorBody(msgspec.Struct, frozen=True):
    error: _ErrorDetail = _ErrorDetail()


class OperatorClient:
    """Sends commands with the operator's key; use as a context manager."""

    def __init__(self, key: str, timeout: float = DEFAULT_TIMEOUT) -> None:
        self._headers = {'Authorization': f'Bearer {key}'}
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> typing.Self:
        self._session = aiohttp.ClientSession(
            headers=self._headers,
            timeout=self._timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self._session.close()

    async def ask(
        self, address: str, command: str, arguments: dict[str, str]
    ) -> Answer | Refused | Unreachable:
        """Run a command on the instance at an ``IP:PORT``."""
        url = f'http://{address}/operator/v1/{command}'
        body = msgspec.json.encode({'arguments': arguments})
        return await self._request('POST', address, url, body)

    async def list_addresses(
        self, address: str
    ) -> Answer | Refused | Unreachable:
        """Ask an instance which addresses callers may use."""
        url = f'http://{address}/v1/addresses'
        return await self._request('GET', address, url, None)

    async def _request(
        self, method: str, address: str, url: str, body: bytes | None
    ) -> Answer | Refused | Unreachable:
        try:
            async with self._session.request(
                method, url, data=body, allow_redirects=False
            ) as response:
                blob = await response.content.read(_LARGEST_ANSWER)
                return _read_answer(address, response.status, blob)
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            return Unreachable(address, reason)
        except TimeoutError:
            return Unreachable(address, 'no answer in time')


def _read_answer(
    address: str, status: int, blob: bytes
) -> Answer | Refused | Unreachable:
    try:
        if status >= _ERROR_STATUS:
            error = msgspec.json.decode(blob, type=_ErrorBody).error
            text = f'{error.text} {error.reason}'.strip()
            return Refused(address, error.kind, text or f'status {status}')
        return msgspec.json.decode(blob, type=Answer)
    except msgspec.DecodeError:
        return Unreachable(address, f'status {status}, not our protocol')


def is_bad_input(refused: Refused) -> bool:
    """Tell whether a refusal was the operator's own mistake."""
    return refused.kind in (
        failures.Kind.BAD_REQUEST.value,
        failures.Kind.UNAUTHENTICATED.value,
    )
