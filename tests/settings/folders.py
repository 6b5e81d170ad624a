"""Shared fixtures: small settings folders on disk."""

import pathlib
import tempfile

from vanillayoke.testing import fixtures

BASE = '10-base.json'
GOOD = """{
  // One agent, one engine, one service.
  "agents": {"board": {"model": "mm", "tools": ["stock"]}},
  "models": {"mm": {"version": "1"}},
  "tools": {
    "stock": {"service": "supplier", "path": "/stock", "idempotent": true},
  },
  "targets": {
    "engine-1": {
      "kind": "engine", "address": "127.0.0.1:9001",
      "zone": "a", "region": "r",
    },
    "service-1": {
      "kind": "service", "address": "127.0.0.1:9002",
      "zone": "a", "region": "r", "group": "supplier",
    },
  },
  "clients": {"shop": {"key_hashes": ["%s"]}},
}
""" % ('ab' * 32)


class Folder:
    """A folder to which tests write settings files."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def write(self, name: str, text: str | bytes) -> pathlib.Path:
        """Write a file and return its path."""
        file = self.path / name
        blob = text.encode() if isinstance(text, str) else text
        file.write_bytes(blob)
        return file


@fixtures.fixture
def folder():
    """Provide an empty folder."""
    with tempfile.TemporaryDirectory() as path:
        yield Folder(pathlib.Path(path))


@fixtures.fixture
def good(folder):
    """Provide a folder with one valid file, ``BASE``."""
    folder.write(BASE, GOOD)
    return folder
