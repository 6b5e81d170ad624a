"""A server that gives a part of its responses no length."""

import socket

from vanillayoke.soak import hostile_targets
from vanillayoke.soak import links
from vanillayoke.soak import unframed
from vanillayoke.standins import targets
from vanillayoke.testing import unframed as unframed_module
from vanillayoke.transport import server


class _Responder(unframed_module.UnframedResponder):
    """Resets the connection when a response is aborted.

    An aborted transport only closes it, which would end the response.
    """

    def abort(self) -> None:
        """Reset the connection."""
        transport = self._connection._transport
        if transport is not None and not transport.is_closing():
            transport.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, links.RESET_OPTION
            )
        super().abort()


class UnframedTarget(hostile_targets.HostileTarget):
    """Gives the responses to some requests no length.

    Bodies are sent in two parts, ``event_interval`` apart.
    """

    async def _execute(
        self,
        execution: targets.Execution,
        fault: targets.Fault | None,
        responder: server.Responder,
    ) -> None:
        if not unframed.is_unframed(execution.request):
            await super()._execute(execution, fault, responder)
            return
        responder = _Responder(responder)
        if self.event_count or fault or self.hostilities:
            await super()._execute(execution, fault, responder)
            return
        await self._work(self.service_time)
        body = b'done ' + execution.body
        middle = len(body) // 2
        responder.start(200, self._make_headers(execution.request))
        responder.write(body[:middle])
        await self._work(self.event_interval)
        responder.write(body[middle:])
        responder.finish()
