"""Tests of the pinned requirements and of what is installed from them."""

import importlib.metadata
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import tempfile

from tools import pin_requirements
from vanillayoke.testing import fixtures

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


@fixtures.fixture
def checkout(folder):
    """A checkout whose pins name no package, so that nothing is fetched."""
    shutil.copytree(ROOT / 'tools', folder / 'tools')
    (folder / 'requirements').mkdir()
    for name in ('build', 'dev', 'run', 'serve'):
        (folder / 'requirements' / f'{name}.txt').write_text('# none\n')
    return folder


@fixtures.fixture
def folder(case):
    with tempfile.TemporaryDirectory() as path:
        yield pathlib.Path(path)


def is_binary(distribution):
    """Return whether an installed package has files for one processor."""
    wheel = distribution.read_text('WHEEL') or ''
    tags = [line for line in wheel.splitlines() if line.startswith('Tag:')]
    return any(not tag.endswith('-any') for tag in tags)


def test_binary_packages_are_pinned_for_each_machine(case):
    """Pins of one kind of processor could not be installed on another."""
    pins = {
        path.name: pin_requirements.read_pins(path)
        for path in sorted((ROOT / 'requirements').glob('*.txt'))
    }
    binary = {
        distribution.metadata['Name'].lower().replace('_', '-')
        for distribution in importlib.metadata.distributions()
        if is_binary(distribution)
    }
    case.assertIn('httptools', binary)
    incomplete = [
        (file, pin.name)
        for file, file_pins in pins.items()
        for pin in file_pins
        if pin.name in binary
        and len(set(pin.hashes)) != len(pin_requirements.MACHINES)
    ]
    case.assertEqual([], incomplete)


def test_pins_name_one_version_of_a_package(case):
    versions = {}
    for path in (ROOT / 'requirements').glob('*.txt'):
        for pin in pin_requirements.read_pins(path):
            case.assertTrue(pin.hashes, pin.requirement)
            versions.setdefault(pin.name, set()).add(pin.version)
    case.assertEqual(
        [], [name for name, found in versions.items() if len(found) > 1]
    )


def test_pins_keep_the_hashes_of_all_machines(case):
    pin = pin_requirements.Pin('a', '1', ('0' * 64,))
    other = pin._replace(hashes=('1' * 64,))
    shared = pin_requirements.Pin('b', '2', ('2' * 64,))
    combined = pin_requirements.combine([[pin, shared], [other, shared]])
    case.assertEqual(
        [pin._replace(hashes=('0' * 64, '1' * 64)), shared], combined
    )


def run_tool(checkout, *command):
    subprocess.run(
        command, cwd=checkout, capture_output=True, env=os.environ, timeout=60
    )


def check_rebuilt(case, checkout, command, folder, stamp):
    """Check that a folder is kept as it is, unless its stamp is foreign."""
    run_tool(checkout, *command)
    marker = checkout / folder / 'marker'
    marker.touch()
    run_tool(checkout, *command)
    case.assertTrue(marker.exists())
    text = (checkout / stamp).read_text()
    foreign = text.replace(platform.machine(), 'riscv64')
    (checkout / stamp).write_text(foreign)
    run_tool(checkout, *command)
    case.assertFalse(marker.exists())


def test_environment_of_another_machine_is_rebuilt(case, checkout):
    """An environment with another processor's binaries was kept."""
    (checkout / 'libs').mkdir()
    command = ('sh', 'tools/make_venv.sh')
    stamp = '.venv/requirements.stamp'
    check_rebuilt(case, checkout, command, '.venv', stamp)


def test_target_folder_of_another_machine_is_rebuilt(case, checkout):
    """Packages with another processor's binaries were kept."""
    (checkout / 'target' / 'deps').mkdir(parents=True)
    (checkout / 'platform' / 'vanillayoke').mkdir(parents=True)
    command = (sys.executable, 'tools/build_target.py')
    stamp = 'target/pins.stamp'
    check_rebuilt(case, checkout, command, 'target/deps', stamp)


def test_binary_of_another_machine_is_rebuilt(case, checkout):
    """The contents with another processor's binaries were kept."""
    (checkout / 'build' / 'contents').mkdir(parents=True)
    command = ('sh', 'tools/build_binary.sh')
    stamp = 'build/contents.stamp'
    check_rebuilt(case, checkout, command, 'build/contents', stamp)
    stamp = 'build/tools/requirements.stamp'
    check_rebuilt(case, checkout, command, 'build/tools', stamp)


load_tests = fixtures.adapt(__name__)
