"""Handlers that say which instances to use and whether this one is fit."""

import typing

from aiohttp import web

from vanillayoke.entry import answers
from vanillayoke.entry import contexts
from vanillayoke.entry import parsing
from vanillayoke.entry import routing


class AddressEntry(typing.TypedDict):
    """One address of the answer."""

    address: str
    instance: str
    zone: str


class AddressPage(typing.TypedDict):
    """Addresses, best first, to keep for ``lifetime`` seconds."""

    addresses: list[AddressEntry]
    lifetime: float


class Health(typing.TypedDict):
    """The answer of the health checks."""

    state: str


async def list_addresses(request: web.Request) -> routing.Outcome:
    """Answer with the addresses to use, for one program or in general."""
    program = request.query.get('program', '')
    # A malformed id has no owner; the general list tells no more of it
    # than the list for an absent program does.
    if not parsing.is_program(program):
        program = ''
    found = contexts.find(request).host.list_addresses(program)
    entries = [
        AddressEntry(
            address=entry.address, instance=entry.instance, zone=entry.zone
        )
        for entry in found.addresses
    ]
    return answers.make_answer(
        AddressPage(addresses=entries, lifetime=found.lifetime)
    )


async def check_live(request: web.Request) -> routing.Outcome:
    """Answer that the process runs."""
    return answers.make_answer(Health(state='live'))


async def check_ready(request: web.Request) -> routing.Outcome:
    """Answer whether the instance takes new work."""
    if contexts.find(request).drain.is_draining:
        return contexts.DRAINING
    return answers.make_answer(Health(state='ready'))
