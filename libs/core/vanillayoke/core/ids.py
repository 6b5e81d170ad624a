"""Identifiers: how they are made and how programs map to shards."""

import hashlib
import random
import typing

import xxhash

ProgramId = typing.NewType('ProgramId', str)
InstanceId = typing.NewType('InstanceId', str)
ClientId = typing.NewType('ClientId', str)
TargetId = typing.NewType('TargetId', str)
Shard = typing.NewType('Shard', int)

SHARD_COUNT = 4096
_ID_BITS = 128


def make_id(prefix: str, source: random.Random) -> str:
    """Make an identifier that cannot be guessed, such as ``prg-1f0c...``.

    A process passes ``random.SystemRandom()``; tests pass a seeded source.
    """
    return f'{prefix}-{source.getrandbits(_ID_BITS):032x}'


def hash_key(*parts: str) -> int:
    """Hash parts to 64 bits, alike on all instances and versions."""
    return xxhash.xxh3_64_intdigest('\x00'.join(parts).encode())


def derive_program_id(client: str, key: str) -> ProgramId:
    """Return the id of the program that a client's key opens.

    A repeated open thus reaches the same shard and finds the program,
    whichever instance it comes to.
    """
    return ProgramId(f'prg-{_digest(client, key)}')


def derive_child_id(parent: str, key: str) -> ProgramId:
    """Return a sub-agent's id, which keeps its root's id in front.

    All programs of one root so share a shard, and their budget one owner.
    """
    return ProgramId(f'{find_root(parent)}.{_digest(parent, key)}')


def _digest(*parts: str) -> str:
    joined = '\x00'.join(parts).encode()
    return hashlib.blake2b(joined, digest_size=_ID_BITS // 8).hexdigest()


def find_root(program: str) -> str:
    """Return the root program's id of any program id."""
    return program.partition('.')[0]


def find_shard(key: str) -> Shard:
    """Return the shard that a program or target id belongs to."""
    return Shard(hash_key('shard', find_root(key)) % SHARD_COUNT)
