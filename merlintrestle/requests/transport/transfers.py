"""Transfers of large answers to other daemons, paced by the outgoing link."""

from __future__ import annotations

import array
import asyncio
import dataclasses
import fcntl
import termios
from typing import TYPE_CHECKING

from merlintrestle.requests.load import links
from merlintrestle.requests.load import reservations
from merlintrestle.requests.transport import bodies

if TYPE_CHECKING:
    from aiohttp import web

    from merlintrestle.requests.calls import outcomes
    from merlintrestle.requests.transport import probes

# A fifth of `reservations.SEND_WINDOW_S`, the time in which the link sends the
# data that may be unsent, so that the link doesn't become idle between updates.
_UPDATE_INTERVAL_S = 0.012


class TransferSender:
    """Sends large answers and tracks how much of them is unsent.

    Data accepted by the operating system has not been sent yet: its buffer
    holds a hundred kilobytes and more for each connection. So the unsent bytes
    are queried, at intervals and only while a transfer is active.
    """

    def __init__(self, link: links.OutgoingLink):
        """Sets the link, which decides when a chunk is sent."""
        self._link = link
        self._loop = asyncio.get_running_loop()
        self._active: list[_ActiveTransfer] = []
        self._timer: asyncio.TimerHandle | None = None

    def close(self) -> None:
        """Stops the updates of unsent bytes."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def send(
        self,
        request: web.BaseRequest,
        response: web.StreamResponse,
        answered: outcomes.Answered,
        progress: probes.AnswerProgress,
        transfer: reservations.Transfer,
    ) -> None:
        """Sends a body in chunks, each as soon as the link has capacity for it.

        Args:
            request: The request of the other daemon.
            response: The response, whose headers have been sent.
            answered: The answer whose body is sent.
            progress: Counts the written bytes.
            transfer: The transfer, which holds the reservation on the link;
                ended once all bytes are sent.

        Raises:
            OSError: The connection broke.
            aiohttp.ClientError: The backend server's answer was truncated.
        """
        transport = request.transport
        if transport is None:
            raise ConnectionResetError("the other daemon has disconnected")
        self._end_previous(transport)
        active = _ActiveTransfer(transport, transfer)
        self._active.append(active)
        written_before = progress.written
        try:
            while data := await _read(answered):
                for start in range(0, len(data), reservations.CHUNK_BYTES):
                    chunk = data[start : start + reservations.CHUNK_BYTES]
                    await transfer.wait_for_turn()
                    progress.written += len(chunk)
                    transfer.record_written(len(chunk))
                    self._schedule_update()
                    await response.write(chunk)
                if answered.body is not None:
                    return
            transfer.record_size(progress.written - written_before)
        finally:
            active.all_written = True

    def _end_previous(self, transport: asyncio.Transport) -> None:
        """Ends the previous transfer on a connection.

        The other daemon sends its next request once it has read the previous
        answer. If the previous transfer were not ended, the unsent bytes of the
        connection would count for both.
        """
        for active in self._active:
            if active.transport is transport:
                active.transfer.update_unsent(0)
                active.transfer.end()
                active.all_written = True

    def _schedule_update(self) -> None:
        if self._timer is None:
            self._timer = self._loop.call_later(
                _UPDATE_INTERVAL_S, self._update_transfers
            )

    def _update_transfers(self) -> None:
        """Updates the unsent bytes of transfers and ends completed ones."""
        self._timer = None
        remaining = []
        for active in self._active:
            active.update()
            if active.all_written and not active.transfer.unsent:
                active.transfer.end()
            else:
                remaining.append(active)
        self._active = remaining
        self._link.update_rate()
        if any(active.transfer.unsent for active in remaining):
            self._schedule_update()


@dataclasses.dataclass(slots=True)
class _ActiveTransfer:
    """A transfer and its connection.

    Attributes:
        transport: Transport of the connection.
        transfer: The transfer, which holds the reservation on the link.
        all_written: True once the last chunk has been written.
    """

    transport: asyncio.Transport
    transfer: reservations.Transfer
    all_written: bool = False

    def update(self) -> None:
        """Updates the unsent bytes of the transfer.

        For a closing connection it is unknown how much has been sent. If its
        unsent bytes, which may be megabytes, were counted as sent, the measured
        rate of the link would be many times too high.
        """
        if self.transport.is_closing():
            self.transfer.end()
            return
        buffered_bytes = self.transport.get_write_buffer_size()
        self.transfer.update_unsent(
            buffered_bytes + _get_kernel_queue_bytes(self.transport)
        )


async def _read(answered: outcomes.Answered) -> bytes:
    """Returns the next bytes of a body; none at its end."""
    if answered.body is not None:
        return answered.body
    return await answered.response.content.read(bodies.MAX_CHUNK_BYTES)


def _get_kernel_queue_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of bytes queued in the operating system.

    If this cannot be determined, all bytes it has accepted count as sent.
    """
    sock = transport.get_extra_info("socket")
    queued = array.array("i", [0])
    try:
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
    except (AttributeError, OSError):
        return 0
    return queued[0]
