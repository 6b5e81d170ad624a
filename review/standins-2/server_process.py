"""Runs one server as a process, which a script can kill.

Arguments: its name and its host. It prints the id of each request that it
begins to run. The path tells what a request gets: ``/chat/`` a stream without
a length, which ends with its connection, ``/big/`` a long stream in chunks.
"""

import asyncio
import sys

import world as stand_ins

EVENTS, EVENT_SECONDS = 12, 0.1
BIG_EVENTS, BIG_EVENT_BYTES = 400, 32768


class Output:
    """Prints what the server records."""

    def write(self, text):
        """Print a line."""
        print(text, flush=True)


class Surroundings:
    """What a server needs of the world."""

    def __init__(self):
        self.record = Output()


async def work(run, writer):
    """Answer a request by its path."""
    path = run.line.split(' ')[1]
    if path.startswith('/big/'):
        await stream(run, writer, BIG_EVENTS, 0.0, b'b' * BIG_EVENT_BYTES)
        return
    await stream(run, writer, EVENTS, EVENT_SECONDS, b'piece', False)
    writer.close()


async def stream(run, writer, events, interval, data, is_chunked=True):
    """Send numbered events."""
    fields = run.server.make_fields(run.request)
    fields.append(('Content-Type', 'text/event-stream'))
    if is_chunked:
        fields.append(('Transfer-Encoding', 'chunked'))
    lines = [f'{name}: {value}' for name, value in fields]
    head = '\r\n'.join(['HTTP/1.1 200 OK', *lines, '', ''])
    writer.write(head.encode())
    for number in range(1, events + 1):
        await asyncio.sleep(interval)
        event = b'id: %d\ndata: %b-%d\n\n' % (number, data, number)
        if is_chunked:
            event = b'%x\r\n%b\r\n' % (len(event), event)
        writer.write(event)
        await writer.drain()
    if is_chunked:
        writer.write(b'0\r\n\r\n')


async def main(name, host):
    """Serve until killed."""
    server = stand_ins.Server(Surroundings(), name, 'models', host, slots=24)
    server.work = work
    await server.start(register=False)
    print('listening', flush=True)
    await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
