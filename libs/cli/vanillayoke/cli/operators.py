"""HTTP client for operator requests to instances."""

import typing

import aiohttp
import msgspec

from vanillayoke.core import failures

DEFAULT_TIMEOUT_SECONDS = 10.0
_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
_MIN_ERROR_STATUS = 400

Response = dict[str, typing.Any]


class Unreachable(typing.NamedTuple):
    """An instance sent no response, or none that can be decoded."""

    address: str
    reason: str


class Refused(typing.NamedTuple):
    """An instance refused a request.

    ``kind`` is the value of a ``core.failures.Kind``.
    """

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

    def __init__(
        self, key: str, timeout: float = DEFAULT_TIMEOUT_SECONDS
    ) -> None:
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

    async def send_command(
        self, address: str, command: str, arguments: dict[str, str]
    ) -> Response | Refused | Unreachable:
        """Run a command on the instance at an ``IP:PORT``."""
        url = f'http://{address}/operator/v1/{command}'
        body = msgspec.json.encode({'arguments': arguments})
        return await self._request('POST', address, url, body)

    async def list_addresses(
        self, address: str
    ) -> Response | Refused | Unreachable:
        """Request the addresses that callers may use."""
        url = f'http://{address}/v1/addresses'
        return await self._request('GET', address, url, None)

    async def _request(
        self, method: str, address: str, url: str, body: bytes | None
    ) -> Response | Refused | Unreachable:
        try:
            async with self._session.request(
                method, url, data=body, allow_redirects=False
            ) as response:
                blob = await _read_body(response)
                if blob is None:
                    return Unreachable(address, 'the response is too long')
                return _decode_response(address, response.status, blob)
        except (aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            return Unreachable(address, reason)
        except TimeoutError:
            return Unreachable(address, 'request timed out')


async def _read_body(response: aiohttp.ClientResponse) -> bytes | None:
    """Return the whole body, ``None`` if it is too long."""
    parts = []
    size = 0
    # ``read`` with a size returns what has arrived, which may be a part.
    while data := await response.content.readany():
        size += len(data)
        if size > _MAX_RESPONSE_BYTES:
            return None
        parts.append(data)
    return b''.join(parts)


def _decode_response(
    address: str, status: int, blob: bytes
) -> Response | Refused | Unreachable:
    try:
        if status >= _MIN_ERROR_STATUS:
            error = msgspec.json.decode(blob, type=_ErrorBody).error
            text = f'{error.text} {error.reason}'.strip()
            return Refused(address, error.kind, text or f'status {status}')
        return msgspec.json.decode(blob, type=Response)
    except msgspec.DecodeError:
        return Unreachable(
            address, f'status {status}, unexpected response format'
        )


def is_bad_input(refused: Refused) -> bool:
    """Return whether a refusal is due to the operator's input or key."""
    return refused.kind in (
        failures.Kind.BAD_REQUEST.value,
        failures.Kind.UNAUTHENTICATED.value,
    )
