"""Long answers on their way, over real connections."""

from __future__ import annotations

import array
import asyncio
import fcntl
import socket
import termios
from typing import Any
import unittest
from unittest import mock

from aiohttp import web

from merlintrestle.requests.calls import outcomes
from merlintrestle.requests.calls import plans
from merlintrestle.requests.load import links
from merlintrestle.requests.load import reservations
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import transfers
from tests.requests import builders
from tests.requests import fakes

_DOWNLOADS = 4
_BODY = bytes(range(256)) * 1024
# A link so thin that nothing more is handed over while a test lasts.
_RATE = 1000
_CHECK = builders.build_plan("check", latency_s=0.3)
_DOWNLOAD = builders.build_plan("download", latency_s=5.0, deadline_s=60.0)


async def _answer_in_chunks(request: web.BaseRequest) -> web.StreamResponse:
    answer = web.StreamResponse()
    await answer.prepare(request)
    await answer.write(_BODY)
    await answer.write_eof()
    return answer


class TransfersTest(unittest.IsolatedAsyncioTestCase):
    """A daemon beside its backend server, and another that asks it."""

    async def asyncSetUp(self) -> None:
        self.all_came = asyncio.Event()
        self.wanted = _DOWNLOADS
        self.chunked = False
        self.status = 200
        self.node = await builders.Node(self.answer).start()
        self.addAsyncCleanup(self.node.aclose)
        self.socks: list[socket.socket] = []
        self.addCleanup(self.close_socks)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a check at once, downloads once all have come."""
        if request.path == "/check":
            return web.Response(body=b"well")
        if len(self.node.served) == self.wanted:
            self.all_came.set()
        await self.all_came.wait()
        if self.chunked:
            return await _answer_in_chunks(request)
        return web.Response(body=_BODY, status=self.status)

    def close_socks(self) -> None:
        """Closes the connections of the test."""
        for sock in self.socks:
            sock.close()

    async def ask(
        self, path: str, keep: bool = False, method: str = "GET"
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Asks the daemon as another daemon does; reads little ahead.

        Args:
            path: What it asks for.
            keep: The connection stays open after the answer.
            method: How it asks.
        """
        sock = socket.socket()
        self.socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = self.node.proxy.peer_port
        await loop.sock_connect(sock, ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        plan = _CHECK if path == "/check" else _DOWNLOAD
        end = "keep-alive" if keep else "close"
        writer.write(
            f"{method} /kassa{path} HTTP/1.1\r\nHost: a\r\n"
            f"Connection: {end}\r\n"
            f"Merlintrestle-Plan: {plans.encode_plan(plan)}\r\n\r\n".encode()
        )
        return reader, writer

    def count_unsent(self) -> int:
        """Returns what the daemon and its operating system have to send."""
        count = 0
        for connection in self.node.proxy._peer_server.connections:
            transport = connection.transport
            assert transport is not None
            queued = array.array("i", [0])
            sock = transport.get_extra_info("socket")
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
            count += transport.get_write_buffer_size() + queued[0]
        return count

    def learn_rate(self) -> None:
        """Has the daemon know what its link carries."""
        link = self.node.proxy._link
        link._measured_rate.record(link.get_time(), 1.0, _RATE)
        link.update_rate()
        link.rate = _RATE

    async def test_check_is_not_behind_downloads(self) -> None:
        """Its answer comes though downloads wait, and finds little before it.

        Four downloads are asked for by daemons that take nothing of them for
        now. Handed over whole, a megabyte waits in the buffers of the
        operating system, and on a thin link a check that is answered then
        comes seconds later.
        """
        self.learn_rate()
        async with asyncio.timeout(builders.GUARD_S):
            asked = [
                await self.ask("/download", True) for _ in range(_DOWNLOADS)
            ]
            heads = [await reader.readline() for reader, _ in asked]
            self.assertEqual(heads, [b"HTTP/1.1 200 OK\r\n"] * _DOWNLOADS)
            while len(self.node.proxy._link._waiting) < _DOWNLOADS:
                await asyncio.sleep(0)
            reader, writer = await self.ask("/check")
            self.assertTrue((await reader.read()).endswith(b"well"))
            writer.close()
            self.assertLess(self.count_unsent(), 4 * reservations.CHUNK_BYTES)
        for _, writer in asked:
            writer.close()

    async def test_slot_is_free_while_an_answer_waits(self) -> None:
        """A check gets the only slot though a download is far from sent.

        The backend server has long been done with the download, and takes the
        check over the same connection. Were the slot held until the link has
        carried the answer, checks would be refused beside an idle server.
        """
        self.learn_rate()
        self.wanted = 1
        self.node.proxy.backend.slots = 1
        async with asyncio.timeout(builders.GUARD_S):
            reader, writer = await self.ask("/download", True)
            while not self.node.proxy._link._waiting:
                await asyncio.sleep(0)
            check_reader, check_writer = await self.ask("/check")
            self.assertTrue((await check_reader.read()).endswith(b"well"))
            self.node.proxy._link.rate = 1e9
            await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(await reader.readexactly(len(_BODY)), _BODY)
        check_writer.close()
        writer.close()

    async def test_downloads_come_whole(self) -> None:
        """In turn, and the link has nothing promised to anybody after that."""
        async with asyncio.timeout(builders.GUARD_S):
            asked = [await self.ask("/download") for _ in range(_DOWNLOADS)]
            read = [reader.read() for reader, _ in asked]
            answers = await asyncio.gather(*read)
            for answer in answers:
                self.assertEqual(answer.partition(b"\r\n\r\n")[2], _BODY)
            link = self.node.proxy._link
            while link.reserved_bytes or link.unsent:
                await asyncio.sleep(0)
        for _, writer in asked:
            writer.close()

    async def test_receivers_that_leave_give_back_their_part(self) -> None:
        """What was promised to them is free, though it never left."""
        self.learn_rate()
        async with asyncio.timeout(builders.GUARD_S):
            asked = [await self.ask("/download") for _ in range(_DOWNLOADS)]
            for reader, _ in asked:
                await reader.readline()
            for _, writer in asked:
                writer.transport.abort()
            link = self.node.proxy._link
            while link.reserved_bytes or link.unsent:
                await asyncio.sleep(0)

    async def test_answers_without_a_stated_length_wait_too(self) -> None:
        """Their pieces are handed over as the link takes them.

        Nothing was promised to the first ones of a class. With no promise to
        wait for, all of them went into the buffers at once.
        """
        self.learn_rate()
        self.chunked = True
        async with asyncio.timeout(builders.GUARD_S):
            asked = [
                await self.ask("/download", True) for _ in range(_DOWNLOADS)
            ]
            link = self.node.proxy._link
            while len(link._waiting) < _DOWNLOADS:
                await asyncio.sleep(0)
            self.assertLess(self.count_unsent(), 4 * reservations.CHUNK_BYTES)
            self.assertGreaterEqual(link.reserved_bytes, link.unsent)
        for _, writer in asked:
            writer.close()

    async def test_answers_that_do_not_tell_what_a_class_is_like(self) -> None:
        """An error, and one that states the size of a body it doesn't have."""
        self.wanted = 1
        for method, status in (("HEAD", 200), ("GET", 404)):
            with self.subTest(method=method, status=status):
                self.status = status
                async with asyncio.timeout(builders.GUARD_S):
                    reader, writer = await self.ask("/download", method=method)
                    await reader.read()
                link = self.node.proxy._link
                (means,) = link._means.values()
                self.assertEqual(means.size, 0)
                writer.close()

    async def test_size_of_answers_without_a_stated_length(self) -> None:
        self.chunked = True
        self.wanted = 1
        async with asyncio.timeout(builders.GUARD_S):
            reader, writer = await self.ask("/download")
            await reader.read()
            link = self.node.proxy._link
            (means,) = link._means.values()
            self.assertEqual(means.size, len(_BODY))
        writer.close()


class SendingTest(unittest.IsolatedAsyncioTestCase):
    """What is told of one connection; its transport is a stand-in."""

    async def asyncSetUp(self) -> None:
        self.clock = fakes.Clock()
        self.link = links.OutgoingLink(self.clock.get_time)
        self.transfers = transfers.TransferSender(self.link)
        self.addCleanup(self.transfers.close)
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_extra_info.return_value = None
        self.request: Any = mock.Mock(transport=self.transport)
        self.answer: Any = mock.Mock(write=mock.AsyncMock())

    async def send(self, size: int) -> reservations.Transfer:
        """Sends an answer of that size, which stays in the write buffer."""
        now = self.clock.now
        call = builders.build_call(
            plan=_DOWNLOAD, due=now + 5.0, deadline=now + 60.0
        )
        transfer = self.link.admit(call)
        assert isinstance(transfer, reservations.Transfer)
        transfer.set_size(size)
        self.transport.get_write_buffer_size.return_value = size
        nobody: Any = None
        answered = outcomes.Answered(nobody, bytes(size), [])
        await self.transfers.send(
            self.request,
            self.answer,
            answered,
            probes.AnswerProgress(),
            transfer,
        )
        return transfer

    async def test_next_answer_on_a_connection(self) -> None:
        """It begins before the look at the last one, which has left whole."""
        await self.send(20_000)
        await self.send(32_000)
        self.transfers._look()
        self.assertEqual(self.link.unsent, 32_000)
        self.assertEqual(self.link.reserved_bytes, 32_000)

    async def test_connection_that_was_aborted(self) -> None:
        """What it had taken is given back, but did not leave."""
        with mock.patch.object(self.link, "note_sent") as note_sent:
            await self.send(200_000)
            self.transport.is_closing.return_value = True
            self.transfers._look()
        note_sent.assert_not_called()
        self.assertEqual((self.link.reserved_bytes, self.link.unsent), (0, 0))
