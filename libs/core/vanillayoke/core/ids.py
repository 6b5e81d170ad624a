"""Identifiers and the mapping of programs to shards."""

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


def make_id(prefix: str, rng: random.Random) -> str:
    """Make a random identifier such as ``prg-1f0c...``.

    Pass ``random.SystemRandom()`` if it must be unguessable; tests pass a
    seeded generator.
    """
    return f'{prefix}-{rng.getrandbits(_ID_BITS):032x}'


def hash_key(*parts: str) -> int:
    """Hash parts to 64 bits, identically on all instances and versions."""
    return xxhash.xxh3_64_intdigest('\x00'.join(parts).encode())


def derive_program_id(client: str, key: str) -> ProgramId:
    """Return the id of the program that a client opens with a key.

    A repeated open therefore maps to the same shard and program, whichever
    instance receives it.
    """
    return ProgramId(f'prg-{_digest(client, key)}')


def derive_child_id(parent: str, key: str) -> ProgramId:
    """Return a sub-agent's id, which starts with its root's id.

    All programs of a root therefore share a shard, and so an owner.
    """
    return ProgramId(f'{find_root(parent)}.{_digest(parent, key)}')


def _digest(*parts: str) -> str:
    joined = '\x00'.join(parts).encode()
    return hashlib.blake2b(joined, digest_size=_ID_BITS // 8).hexdigest()


def find_root(program: str) -> str:
    """Return the id of a program's root."""
    return program.partition('.')[0]


def find_shard(key: str) -> Shard:
    """Return the shard that a program or target id belongs to."""
    return Shard(hash_key('shard', find_root(key)) % SHARD_COUNT)
