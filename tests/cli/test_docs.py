"""Tests that the documentation pages agree with the code."""

import pathlib
import re
import shlex

from vanillayoke.cli import commands
from vanillayoke.cli import reference as cli_reference
from vanillayoke.scheduling import policies
from vanillayoke.settings import configuration
from vanillayoke.settings import descriptions
from vanillayoke.settings import loading
from vanillayoke.settings import reference as settings_reference
from vanillayoke.testing import fixtures

_ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
_DOCS = _ROOT / 'docs'
_LINK = re.compile(r'\]\(([^)#]+)(?:#[^)]*)?\)')
_COMMAND = re.compile(r'^    vanillayoke ([^|>&\n]+)', re.MULTILINE)


def _list_pages():
    return [*_ROOT.glob('*.md'), *_DOCS.rglob('*.md')]


def test_generated_pages_are_up_to_date(case):
    for module, page in (
        (settings_reference, settings_reference.render_settings()),
        (cli_reference, cli_reference.render_commands()),
    ):
        file = _DOCS / 'reference' / module.PAGE
        case.assertEqual(page, file.read_text(), module.__name__)


def test_links_between_pages_have_targets(case):
    for page in _list_pages():
        for link in _LINK.findall(page.read_text()):
            if '://' not in link:
                case.assertTrue((page.parent / link).exists(), (page, link))


def test_commands_on_pages_can_be_parsed(case):
    count = 0
    for page in _list_pages():
        for line in _COMMAND.findall(page.read_text()):
            name, *words = shlex.split(line)
            command = commands.find_command(name)
            case.assertIsNotNone(command, (page, line))
            if '[--flags]' in words:
                continue
            count += 1
            arguments = command.make_flags()([name, *words])[1:]
            expected = len(command.module.ARGUMENTS)
            case.assertEqual(expected, len(arguments), (page, line))
    case.assertGreater(count, 10)


def test_examples_have_no_faults(case):
    folders = [
        path for path in (_ROOT / 'examples').iterdir() if path.is_dir()
    ]
    case.assertEqual(3, len(folders))
    for folder in folders:
        case.assertEqual((), loading.load_configuration(folder).faults)
    file = _ROOT / 'examples' / 'process.json'
    case.assertEqual((), loading.inspect_process_settings(file).faults)


def test_every_field_is_described(case):
    for kind, meanings in descriptions.FIELDS.items():
        case.assertEqual(set(kind.__struct_fields__), set(meanings), kind)


def test_policy_names_are_those_of_the_scheduler(case):
    for names, known in (
        (configuration.PLACEMENTS, policies.PLACEMENTS),
        (configuration.ORDERS, policies.ORDERS),
        (configuration.ADMISSIONS, policies.ADMISSIONS),
        (configuration.CACHE_LIFETIMES, policies.CACHE_LIFETIMES),
    ):
        case.assertEqual(set(names), set(known))


load_tests = fixtures.adapt(__name__)
