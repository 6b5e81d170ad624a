"""Ends of servers' processes while responses are under way."""

import asyncio
import signal

from vanillayoke.soak import sites

# Rows of processes that have ended remain for this time.
ROW_SECONDS = 0.2


async def move(site: sites.Site, server: sites.Server, delay: float) -> None:
    """End a process; its successor has another address."""
    await asyncio.sleep(delay)
    async with server.change_lock:
        child, name = server.child, server.name
        child.signal(signal.SIGKILL)
        await site.replace_process(server, child, is_moved=True)
    await asyncio.sleep(ROW_SECONDS)
    site.unregister(name)


async def succeed(
    site: sites.Site, server: sites.Server, delay: float
) -> None:
    """End a process when another one is ready to take its address."""
    async with server.change_lock:
        async with server.start_lock:
            former, name = server.child, server.name
            await site.start_process(server)
        successor = server.child
        await asyncio.sleep(delay)
        former.signal(signal.SIGKILL)
        if server.child is successor:
            site.register(server, 'ready')
    await asyncio.sleep(ROW_SECONDS)
    site.unregister(name)


async def leave(site: sites.Site, server: sites.Server, delay: float) -> None:
    """Let a server leave, end its process and start a new incarnation."""
    async with server.change_lock:
        child, name = server.child, server.name
        site.register(server, 'draining')
        await asyncio.sleep(delay)
        site.unregister(name)
        child.signal(signal.SIGKILL)
        await site.replace_process(server, child)
