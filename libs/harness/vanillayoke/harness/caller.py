"""A caller that stays with its program whatever becomes of an instance."""

import json
import time
import typing
import urllib.error
import urllib.request

ATTEMPT_TIMEOUT = 10.0
_PAUSE = 0.25


class Answer(typing.NamedTuple):
    """A whole answer: streamed text, the final item, how often resumed."""

    text: str
    final: dict[str, typing.Any]
    resumed: int


class CallerError(RuntimeError):
    """An answer that repeating the request does not help."""


class _Interrupted(Exception):
    """A stream that broke off and can be resumed."""


class Caller:
    """Repeats requests with their keys at any address it was told of."""

    def __init__(
        self, addresses: typing.Sequence[str], key: str, patience: float
    ) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._patience = patience

    def ask(
        self, method: str, path: str, key: str = '', body: object = None
    ) -> dict[str, typing.Any]:
        """Send a request until it is answered."""
        deadline = time.monotonic() + self._patience
        while True:
            try:
                with self._open(method, path, key, body) as response:
                    return json.load(response)
            except _Interrupted as error:
                self._wait(deadline, error)

    def run(
        self,
        program: str,
        key: str,
        text: str,
        on_text: typing.Callable[[str], None] = lambda text: None,
    ) -> Answer:
        """Run a program to its next answer, reading it as a stream."""
        body = {'mode': 'run', 'text': text, 'stream': True}
        path = f'/v1/programs/{program}/calls'
        deadline = time.monotonic() + self._patience
        read = ''
        resumed = 0
        while True:
            try:
                with self._open('POST', path, key, body) as response:
                    for event, data in _read_events(response):
                        read = _apply(read, event, data)
                        on_text(read)
                        if event == 'done':
                            return Answer(read, data, resumed)
                raise _Interrupted('the stream ended early')
            except (_Interrupted, OSError) as error:
                resumed += 1
                read = ''
                self._wait(deadline, error)

    def _open(self, method: str, path: str, key: str, body: object):
        address = self._addresses[0]
        headers = {'Authorization': f'Bearer {self._key}'}
        if key:
            headers['Idempotency-Key'] = key
        request = urllib.request.Request(
            f'http://{address}{path}',
            method=method,
            headers=headers,
            data=None if body is None else json.dumps(body).encode(),
        )
        try:
            return urllib.request.urlopen(request, timeout=ATTEMPT_TIMEOUT)
        except urllib.error.HTTPError as error:
            answer = json.load(error)
            if answer['error']['may_retry']:
                raise _Interrupted(answer['error']['kind']) from error
            raise CallerError(answer['error']) from error
        except OSError as error:
            raise _Interrupted(str(error)) from error

    def _wait(self, deadline: float, error: Exception) -> None:
        if time.monotonic() > deadline:
            raise CallerError(f'no answer in time: {error}')
        self._addresses.append(self._addresses.pop(0))
        time.sleep(_PAUSE)


def _read_events(
    response: typing.IO[bytes],
) -> typing.Iterator[tuple[str, dict[str, typing.Any]]]:
    event = ''
    for line in response:
        name, _, value = line.decode().rstrip('\n').partition(': ')
        if name == 'event':
            event = value
        elif name == 'data':
            yield event, json.loads(value)


def _apply(read: str, event: str, data: dict[str, typing.Any]) -> str:
    match event:
        case 'text':
            return read[: data['offset']] + data['text']
        case 'reset':
            return read[: data['offset']]
        case 'error':
            if data['error']['may_retry']:
                raise _Interrupted(data['error']['kind'])
            raise CallerError(data['error'])
    return read
