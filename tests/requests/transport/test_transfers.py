"""Tests of transfers of long answers."""

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
# So slow that no further chunk is sent while a test runs.
_RATE_BYTES_PER_S = 1000
_SMALL_CALL = builders.build_plan("check", latency_s=0.3)
_DOWNLOAD = builders.build_plan("download", latency_s=5.0, deadline_s=60.0)


async def _answer_in_chunks(request: web.BaseRequest) -> web.StreamResponse:
    answer = web.StreamResponse()
    await answer.prepare(request)
    await answer.write(_BODY)
    await answer.write_eof()
    return answer


class TransferSenderTest(unittest.IsolatedAsyncioTestCase):
    """A daemon, its backend server, and other daemons that send requests."""

    async def asyncSetUp(self) -> None:
        self.all_arrived = asyncio.Event()
        self.expected_calls = _DOWNLOADS
        self.chunked = False
        self.status = 200
        self.node = await builders.Node(self.answer).start()
        self.addAsyncCleanup(self.node.aclose)
        self.socks: list[socket.socket] = []
        self.addCleanup(self.close_socks)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a small call at once, and downloads once all have arrived."""
        if request.path == "/check":
            return web.Response(body=b"well")
        if len(self.node.served) == self.expected_calls:
            self.all_arrived.set()
        await self.all_arrived.wait()
        if self.chunked:
            return await _answer_in_chunks(request)
        return web.Response(body=_BODY, status=self.status)

    def close_socks(self) -> None:
        """Closes the connections of the test."""
        for sock in self.socks:
            sock.close()

    async def request(
        self, path: str, keep: bool = False, method: str = "GET"
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Sends a request as another daemon does; the read buffer is small.

        Args:
            path: Path of the request.
            keep: Keep the connection open after the answer.
            method: HTTP method.
        """
        sock = socket.socket()
        self.socks.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = self.node.proxy.peer_port
        await loop.sock_connect(sock, ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        plan = _SMALL_CALL if path == "/check" else _DOWNLOAD
        end = "keep-alive" if keep else "close"
        writer.write(
            f"{method} /kassa{path} HTTP/1.1\r\nHost: a\r\n"
            f"Connection: {end}\r\n"
            f"Merlintrestle-Plan: {plans.encode_plan(plan)}\r\n\r\n".encode()
        )
        return reader, writer

    def count_unsent(self) -> int:
        """Returns the bytes that the daemon and its kernel have not sent."""
        count = 0
        for connection in self.node.proxy._peer_server.connections:
            transport = connection.transport
            assert transport is not None
            queued = array.array("i", [0])
            sock = transport.get_extra_info("socket")
            fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, queued)
            count += transport.get_write_buffer_size() + queued[0]
        return count

    def set_slow_link(self) -> None:
        """Sets a low rate of the daemon's link, as if measured."""
        link = self.node.proxy._link
        link._measured_rate.record(link.get_time(), 1.0, _RATE_BYTES_PER_S)
        link.update_rate()
        link.rate = _RATE_BYTES_PER_S

    async def test_small_call_does_not_queue_behind_downloads(self) -> None:
        """A small call is answered while downloads wait for the link.

        Four daemons request downloads and do not read the answers for now. If
        the answers were written whole, a megabyte would wait in the buffers of
        the operating system, and on a slow link the answer to a small call
        would arrive seconds later.
        """
        self.set_slow_link()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            connections = [
                await self.request("/download", True) for _ in range(_DOWNLOADS)
            ]
            status_lines = [
                await reader.readline() for reader, _ in connections
            ]
            self.assertEqual(
                status_lines, [b"HTTP/1.1 200 OK\r\n"] * _DOWNLOADS
            )
            while len(self.node.proxy._link._waiting) < _DOWNLOADS:
                await asyncio.sleep(0)
            reader, writer = await self.request("/check")
            self.assertTrue((await reader.read()).endswith(b"well"))
            writer.close()
            self.assertLess(self.count_unsent(), 4 * reservations.CHUNK_BYTES)
        for _, writer in connections:
            writer.close()

    async def test_slot_is_free_while_an_answer_waits(self) -> None:
        """A small call gets the only slot while a download is being sent.

        The backend server has completed the download and accepts the small call
        over the same connection. If the slot were occupied until the answer has
        been sent, small calls would be refused although the server is idle.
        """
        self.set_slow_link()
        self.expected_calls = 1
        self.node.proxy.backend.slots = 1
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            reader, writer = await self.request("/download", True)
            while not self.node.proxy._link._waiting:
                await asyncio.sleep(0)
            small_reader, small_writer = await self.request("/check")
            self.assertTrue((await small_reader.read()).endswith(b"well"))
            self.node.proxy._link.rate = 1e9
            await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(await reader.readexactly(len(_BODY)), _BODY)
        small_writer.close()
        writer.close()

    async def test_downloads_are_complete(self) -> None:
        """Every body is complete, and no reservation remains on the link."""
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            connections = [
                await self.request("/download") for _ in range(_DOWNLOADS)
            ]
            reads = [reader.read() for reader, _ in connections]
            answers = await asyncio.gather(*reads)
            for answer in answers:
                self.assertEqual(answer.partition(b"\r\n\r\n")[2], _BODY)
            link = self.node.proxy._link
            while link.reserved_bytes or link.unsent:
                await asyncio.sleep(0)
        for _, writer in connections:
            writer.close()

    async def test_disconnecting_receivers_release_reservations(self) -> None:
        """Reserved bytes are released though they were never sent.

        Otherwise the link would seem to be busy forever.
        """
        self.set_slow_link()
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            connections = [
                await self.request("/download") for _ in range(_DOWNLOADS)
            ]
            for reader, _ in connections:
                await reader.readline()
            for _, writer in connections:
                writer.transport.abort()
            link = self.node.proxy._link
            while link.reserved_bytes or link.unsent:
                await asyncio.sleep(0)

    async def test_answers_without_content_length_wait_too(self) -> None:
        """Chunks of an answer of unknown length are sent as the link allows.

        The first answers of a class have no reservation. If they did not wait
        for the link, the whole of each would be written to the buffers at once.
        """
        self.set_slow_link()
        self.chunked = True
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            connections = [
                await self.request("/download", True) for _ in range(_DOWNLOADS)
            ]
            link = self.node.proxy._link
            while len(link._waiting) < _DOWNLOADS:
                await asyncio.sleep(0)
            self.assertLess(self.count_unsent(), 4 * reservations.CHUNK_BYTES)
            self.assertGreaterEqual(link.reserved_bytes, link.unsent)
        for _, writer in connections:
            writer.close()

    async def test_answers_that_do_not_count_for_the_mean_size(self) -> None:
        """The mean size of a class isn't changed by errors or answers to HEAD.

        An answer to HEAD states a length but has no body.
        """
        self.expected_calls = 1
        for method, status in (("HEAD", 200), ("GET", 404)):
            with self.subTest(method=method, status=status):
                self.status = status
                async with asyncio.timeout(builders.TEST_TIMEOUT_S):
                    reader, writer = await self.request(
                        "/download", method=method
                    )
                    await reader.read()
                link = self.node.proxy._link
                (means,) = link._answer_stats.values()
                self.assertEqual(means.size, 0)
                writer.close()

    async def test_mean_size_of_answers_without_content_length(self) -> None:
        """The bytes that were sent count as the size of the answer."""
        self.chunked = True
        self.expected_calls = 1
        async with asyncio.timeout(builders.TEST_TIMEOUT_S):
            reader, writer = await self.request("/download")
            await reader.read()
            link = self.node.proxy._link
            (means,) = link._answer_stats.values()
            self.assertEqual(means.size, len(_BODY))
        writer.close()


class ConnectionStateTest(unittest.IsolatedAsyncioTestCase):
    """Transfers over a connection with a mock transport."""

    async def asyncSetUp(self) -> None:
        self.clock = fakes.FakeClock()
        self.link = links.OutgoingLink(self.clock.get_time)
        self.sender = transfers.TransferSender(self.link)
        self.addCleanup(self.sender.close)
        self.transport = mock.Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_extra_info.return_value = None
        self.request: Any = mock.Mock(transport=self.transport)
        self.response: Any = mock.Mock(write=mock.AsyncMock())

    async def send(self, size: int) -> reservations.Transfer:
        """Sends an answer, which stays in the write buffer."""
        now = self.clock.now
        call = builders.build_call(
            plan=_DOWNLOAD, latency_deadline=now + 5.0, deadline=now + 60.0
        )
        transfer = self.link.admit(call)
        assert isinstance(transfer, reservations.Transfer)
        transfer.set_size(size)
        self.transport.get_write_buffer_size.return_value = size
        no_received_answer: Any = None
        answered = outcomes.Answered(no_received_answer, bytes(size), [])
        await self.sender.send(
            self.request,
            self.response,
            answered,
            probes.AnswerProgress(),
            transfer,
        )
        return transfer

    async def test_next_answer_on_a_connection(self) -> None:
        """The unsent bytes of a connection count for its latest answer only.

        The next answer starts when the previous one has been sent, but its
        unsent bytes have not been updated since.
        """
        await self.send(20_000)
        await self.send(32_000)
        self.sender._update_transfers()
        self.assertEqual(self.link.unsent, 32_000)
        self.assertEqual(self.link.reserved_bytes, 32_000)

    async def test_aborted_connection(self) -> None:
        """The reservation is released, but its bytes do not count as sent.

        How much was sent before the abort is unknown. If all of it counted, the
        measured rate of the link would be far too high.
        """
        with mock.patch.object(self.link, "record_sent") as record_sent:
            await self.send(200_000)
            self.transport.is_closing.return_value = True
            self.sender._update_transfers()
        record_sent.assert_not_called()
        self.assertEqual((self.link.reserved_bytes, self.link.unsent), (0, 0))
