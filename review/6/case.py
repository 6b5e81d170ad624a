"""Conversations that go on from a turn whose stream was resumed."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins-2'))

import world as stand_ins  # noqa: E402

CONVERSATIONS = 8
EVENTS = 6
EVENT_SECONDS = 0.2
# The process is killed in the middle of the streams.
KILL_SECONDS = 0.65
DATA = [f'piece-{number}'.encode() for number in range(1, EVENTS + 1)]


def list_events(body):
    """Return the ids and the data of the whole events of a body."""
    events = []
    for text in body.split(b'\n\n')[:-1]:
        lines = dict(line.split(b': ', 1) for line in text.split(b'\n'))
        events.append((int(lines[b'id']), lines[b'data']))
    return events


class Conversation:
    """One conversation of two turns."""

    def __init__(self, world, number, first, second):
        self._world, self._first, self._second = world, first, second
        self._program = f'program-{number}'
        self._inputs = [
            f'input {turn} of {number};'.encode() for turn in (1, 2)
        ]
        # The body that the server is to get with the second turn.
        self.expected = self._inputs[0]
        self.expected += b''.join(data + b'\n' for data in DATA)
        self.expected += self._inputs[1]
        self.second_turn = ''
        self.is_whole = False

    async def run(self):
        """Take both turns; resume the first one if it breaks off."""
        turn, events = stand_ins.make_id(), []
        answer = await self._send(self._first, turn, 0)
        events += list_events(answer.body)
        if not answer.is_whole:
            turn = stand_ins.make_id()
            more = [('Last-Event-Id', str(events[-1][0]))]
            answer = await self._send(self._second, turn, 0, more=more)
            events += list_events(answer.body)
        self.is_whole = (
            answer.is_whole and [data for _, data in events] == DATA
        )
        self.second_turn = stand_ins.make_id()
        await self._send(self._second, self.second_turn, 1, turn)

    async def _send(self, instance, turn, index, previous='', more=()):
        fields = stand_ins.make_turn_fields(
            turn, self._program, 2000, 100, previous
        )
        self._world.record.write(
            f'client sends turn {turn} of {self._program} to'
            f' {instance.name}, previous {previous!r}, {more}'
        )
        answer = await stand_ins.request(
            instance.front,
            'POST',
            '/chat/1',
            [*fields, *more],
            self._inputs[index],
        )
        self._world.record.write(f'client gets for turn {turn}: {answer}')
        return answer


async def case(world, has_trouble):
    """Have conversations; kill the instance of their first turns."""
    servers = [
        stand_ins.Server(
            world, f'i-{n}', 'models', world.make_host(130 + n), slots=12
        )
        for n in range(3)
    ]
    for server in servers:
        server.work = stand_ins.make_stream_work(EVENTS, EVENT_SECONDS)
        await server.start()
    route = stand_ins.make_route(
        'chat',
        'stream',
        'models',
        retain_history=True,
        retain_s=60.0,
        resumable=True,
        session_affinity=True,
        max_attempts=2,
    )
    world.store.put(
        'op',
        'config',
        stand_ins.make_configuration(3, [route], {'models': True}),
    )
    first, second = (stand_ins.Instance(world, n) for n in (1, 2))
    for instance in (first, second):
        instance.start(bootstrap=True)
    await world.wait_ready([first, second])
    conversations = [
        Conversation(world, number, first, second)
        for number in range(CONVERSATIONS)
    ]
    running = asyncio.gather(*(one.run() for one in conversations))
    if has_trouble:
        await asyncio.sleep(KILL_SECONDS)
        first.signal(signal.SIGKILL)
    await running
    runs = {run.request: run for server in servers for run in server.runs}
    broken = []
    for one in conversations:
        run = runs.get(one.second_turn)
        # A turn that was refused, or a stream that was not resumed, is
        # allowed.
        if run is None or not one.is_whole or run.body == one.expected:
            continue
        broken.append(
            f'UNASKED: {run.server.name} runs turn {one.second_turn} with'
            f' the body {run.body!r} in place of {one.expected!r}'
        )
    return broken


if __name__ == '__main__':
    sys.exit(stand_ins.run_case(FOLDER, case))
