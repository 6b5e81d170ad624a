"""Runs the commands of the installation page as written there.

Only ports, file paths and the program's id are replaced. After each background
command the script waits until its port accepts connections.
"""

import os
import pathlib
import re
import shutil
import signal
import socket
import subprocess
import tempfile

from vanillayoke.testing import fixtures

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_PAGE = _ROOT / 'docs' / 'howto' / 'install.md'
_TIMEOUT_SECONDS = 120
_PORTS = (8500, 9001, 9002, 7001, 7101)
_SCRIPT_HEAD = """\
set -eu
shopt -s expand_aliases
trap 'kill $(jobs -p) 2>/dev/null || true' EXIT
wait_for() {
  until (exec 3<>/dev/tcp/127.0.0.1/$1) 2>/dev/null; do sleep 0.1; done
}
"""
# The instance is the fourth background job.
_SCRIPT_TAIL = 'wait %4\necho "the instance ended with $?"\n'


@fixtures.fixture
def folder():
    """Yield a folder with a copy of the examples."""
    with tempfile.TemporaryDirectory() as path:
        shutil.copytree(_ROOT / 'examples', f'{path}/examples')
        yield pathlib.Path(path)


@fixtures.fixture
def ports():
    """Return free ports by the ports that the page names."""
    sockets = [socket.socket() for _ in _PORTS]
    for bound in sockets:
        bound.bind(('127.0.0.1', 0))
    free = [bound.getsockname()[1] for bound in sockets]
    for bound in sockets:
        bound.close()
    return dict(zip(_PORTS, free, strict=True))


def _replace_ports(text, ports):
    def replace(match):
        return f'127.0.0.1:{ports[int(match[1])]}'

    return re.sub(r'127\.0\.0\.1:(\d{4})\b', replace, text)


def _list_commands():
    text = re.sub(r'\\\n\s*', '', _PAGE.read_text())
    return re.findall(r'^    (\S.*)', text, re.MULTILINE)


def _make_line(command):
    if command == 'make venv':
        return ''
    if 'Idempotency-Key: open-1' in command:
        return f'opened=$({command})'
    if command.startswith('export PROGRAM='):
        return "export PROGRAM=$(grep -o 'prg-[0-9a-f]*' <<< \"$opened\")"
    if command.endswith('&'):
        found = re.search(r'--address=127\.0\.0\.1:(\d+)', command)
        port = found[1] if found else '127.0.0.1:7001'
        return f'{command}\nwait_for {port.rpartition(":")[2]}'
    return command


def _make_script(folder, ports):
    body = '\n'.join(map(_make_line, _list_commands()))
    for port, free in ports.items():
        body = body.replace(f'wait_for {port}', f'wait_for {free}')
    body = body.replace('examples/', f'{folder}/examples/')
    body = body.replace('timeline.html', f'{folder}/timeline.html')
    body = body.replace('instance.log', f'{folder}/instance.log')
    return f'{_SCRIPT_HEAD}{_replace_ports(body, ports)}\n{_SCRIPT_TAIL}'


def _run(script):
    process = subprocess.Popen(
        ['bash', '-c', script],
        cwd=_ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        start_new_session=True,
    )
    try:
        output, _ = process.communicate(timeout=_TIMEOUT_SECONDS)
    except subprocess.TimeoutExpired:
        os.killpg(process.pid, signal.SIGKILL)
        output, _ = process.communicate()
    return process.returncode, output


def test_commands_from_installation_to_drain_succeed(case, folder, ports):
    for file in folder.glob('examples/**/*.json'):
        if file.parent.name in ('examples', 'first'):
            file.write_text(_replace_ports(file.read_text(), ports))
    status, output = _run(_make_script(folder, ports))
    case.assertEqual(0, status, output)
    for text in (
        'Faults: 0. Warnings: 0.',
        'Accepted as version 1.',
        'Version 1 is in force everywhere.',
        'event: done',
        'Configuration version: 1',
        'Call 1 ran on engine-1.',
        'call_committed',
        'state: draining',
        'the instance ended with 0',
    ):
        case.assertIn(text, output)
    page = (folder / 'timeline.html').read_text()
    case.assertTrue(page.startswith('<!DOCTYPE html>'))


load_tests = fixtures.adapt(__name__)
