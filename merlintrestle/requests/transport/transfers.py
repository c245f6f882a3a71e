"""Transfers: long answers to other daemons, sent as the link takes them."""

from __future__ import annotations

import array
import asyncio
import dataclasses
import fcntl
import termios
from typing import TYPE_CHECKING

from merlintrestle.requests.load import links
from merlintrestle.requests.load import reservations

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.transport import probes

# Time between two looks at what has left, in seconds: a fifth of what may be
# on its way, so that the link is not idle in between.
_LOOK_S = 0.012


class TransferSender:
    """The long answers of a daemon that are on their way.

    What an operating system has taken has not left: it takes a hundred
    kilobytes and more of each connection at once. So it is asked, at intervals
    and only while something is on its way.
    """

    def __init__(self, link: links.OutgoingLink):
        """Sets what decides when something is sent."""
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._sending: list[_Sending] = []
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Ends the looks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def send(
        self,
        request: web.BaseRequest,
        answer: web.StreamResponse,
        answered: outcomes.Answered,
        progress: probes.AnswerProgress,
        transfer: reservations.Transfer,
    ) -> None:
        """Sends a body in pieces, each as soon as the link has room for it.

        Args:
            request: What is answered.
            answer: Its answer, the head of which is sent.
            answered: What it has the body of.
            progress: Counts what is handed over.
            transfer: What the link has promised; ended once all has left.

        Raises:
            OSError: The connection broke.
            aiohttp.ClientError: The backend server broke off.
        """
        transport = request.transport
        if transport is None:
            raise ConnectionResetError("the other daemon has left")
        self._end_earlier(transport)
        sending = _Sending(transport, transfer)
        self._sending.append(sending)
        began_at = progress.written
        try:
            while piece := await _read(answered):
                for start in range(0, len(piece), reservations.CHUNK_BYTES):
                    part = piece[start : start + reservations.CHUNK_BYTES]
                    await transfer.wait_for_turn()
                    progress.written += len(part)
                    transfer.record_written(len(part))
                    self._look_later()
                    await answer.write(part)
                if answered.body is not None:
                    return
            transfer.record_size(progress.written - began_at)
        finally:
            sending.written = True

    def _end_earlier(self, transport: asyncio.Transport) -> None:
        """Ends the last transfer of a connection.

        The other daemon asks anew once it has read the last answer. Looked at
        later, what is sent from now on would count for both.
        """
        for sending in self._sending:
            if sending.transport is transport:
                sending.transfer.update_unsent(0)
                sending.transfer.end()
                sending.written = True

    def _look_later(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(_LOOK_S, self._look)

    def _look(self) -> None:
        """Notes what has left, and forgets what has left whole."""
        self._timer = None
        still = []
        for sending in self._sending:
            sending.look()
            if sending.written and not sending.transfer.unsent:
                sending.transfer.end()
            else:
                still.append(sending)
        self._sending = still
        self._link.update_rate()
        if any(sending.transfer.unsent for sending in still):
            self._look_later()


@dataclasses.dataclass(slots=True)
class _Sending:
    """One transfer and its connection.

    Attributes:
        transport: The connection.
        transfer: The transfer.
        written: True once nothing more is handed over.
    """

    transport: asyncio.Transport
    transfer: reservations.Transfer
    written: bool = False

    def look(self) -> None:
        """Tells the transfer what has not left yet.

        Of a connection that closes nobody tells how much has left. Counted as
        carried, megabytes of a receiver that went away would show the link
        to be many times as quick as it is.
        """
        if self.transport.is_closing():
            self.transfer.end()
            return
        held_back = self.transport.get_write_buffer_size()
        self.transfer.update_unsent(held_back + _get_queued(self.transport))


async def _read(answered: outcomes.Answered) -> bytes:
    """Returns what there is of a body; nothing at its end."""
    if answered.body is not None:
        return answered.body
    return await answered.response.content.readany()


def _get_queued(transport: asyncio.Transport) -> int:
    """Returns the bytes that the operating system has not got through yet.

    Where it does not tell, what it has taken counts as gone.
    """
    sock = transport.get_extra_info("socket")
    queued = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except (AttributeError, OSError):
        return 0
    return queued[0]
