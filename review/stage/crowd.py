"""Consumers of one machine: many that read a little, and some that pay."""

from __future__ import annotations

import asyncio
import contextlib
import time
from typing import Any, NamedTuple

from stage import fleet as fleets
from stage import recording
from stage import wire

# The least that the sheet of kpdca-mesh-grown states for a machine.
SETTINGS = {"limits.memoryMb": "128", "limits.maxFds": "4100"}
# The largest burst on that sheet: how many times the usual users, and how long
# they stay, in seconds.
_BURST = 1.8
BURST_S = 3.0
_DEADLINE_S = 3.0


class Habits(NamedTuple):
    """What the usual consumers do.

    Attributes:
        readers: Number of consumers that read, over kept connections.
        interval_s: Time between two reads of each of them, in seconds.
        fields: Number of headers of a read beside those of the platform.
        payers: Number of consumers that pay.
        round_s: Time between two payouts of each of them, in seconds.
        keeps: Whether those who pay keep their connections.
        payout_bytes: Size of the body of a payout.
    """

    readers: int
    interval_s: float
    fields: int
    payers: int
    round_s: float
    keeps: bool
    payout_bytes: int


class Payout(NamedTuple):
    """What became of a payout.

    Attributes:
        attempt: Its attempt id.
        sent_at: Time at which it was sent, in seconds.
        status: Status of its answer; 0 if there was none.
        took_s: Time to the answer, or to the end of the connection or of the
            consumer's time, in seconds.
        ended: Whether the daemon ended the connection without an answer.
    """

    attempt: str
    sent_at: float
    status: int
    took_s: float
    ended: bool


class Crowd:
    """The consumers of a machine.

    Attributes:
        payouts: The payouts so far.
    """

    def __init__(
        self,
        daemon: fleets.Daemon,
        record: recording.Record,
        habits: Habits,
    ):
        self.payouts: list[Payout] = []
        self._habits = habits
        self._daemon = daemon
        self._record = record
        self._number = 0
        self._began_at = time.monotonic()
        self._tasks: list[asyncio.Task[None]] = []
        self._burst: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Lets the usual consumers come."""
        habits = self._habits
        self._began_at = time.monotonic()
        self._tasks = self._add_readers(habits.readers, habits.interval_s)
        self._tasks += [
            asyncio.create_task(self._pay()) for _ in range(habits.payers)
        ]

    def begin_burst(self, spread_s: float) -> None:
        """Lets more consumers come that read, unless there is no trouble.

        Args:
            spread_s: Time in which they come, in seconds.
        """
        further = round(self._habits.readers * (_BURST - 1))
        count = further if fleets.is_troubled() else 0
        self._record.add("burst:", count, "further readers")
        if count:
            self._burst = self._add_readers(count, spread_s)

    async def end_burst(self) -> None:
        """Lets the further consumers leave."""
        self._record.add("end of the burst")
        await _cancel(self._burst)

    async def close(self) -> None:
        """Lets all consumers leave."""
        await _cancel(self._burst + self._tasks)

    def _add_readers(
        self, count: int, spread_s: float
    ) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(self._read(index * spread_s / count))
            for index in range(count)
        ]

    async def _read(self, delay_s: float) -> None:
        """Reads at intervals over a kept connection."""
        await asyncio.sleep(delay_s)
        while True:
            async with self._open() as streams:
                while streams is not None:
                    began_at = time.monotonic()
                    answer = await self._exchange(*streams, self._build_read())
                    if answer is None or _closes(answer):
                        break
                    await fleets.wait_until(began_at + self._habits.interval_s)
            await asyncio.sleep(0.5)

    async def _pay(self) -> None:
        """Pays in each round, over a kept connection or over new ones."""
        round_s = self._habits.round_s
        while True:
            async with self._open() as streams:
                while streams is not None:
                    goes_on = await self._pay_once(*streams)
                    # All pay at the same time.
                    rounds = (time.monotonic() - self._began_at) // round_s
                    next_at = self._began_at + (rounds + 1) * round_s
                    await fleets.wait_until(next_at)
                    if not goes_on or not self._habits.keeps:
                        break
            await asyncio.sleep(0.01)

    async def _pay_once(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Sends a payout; returns whether the connection goes on."""
        attempt, request = self._build_payout()
        self._record.add("consumer sends payout", attempt)
        sent_at = time.monotonic()
        answer = await self._exchange(reader, writer, request)
        took_s = time.monotonic() - sent_at
        status = answer.status if answer is not None else 0
        ended = answer is None and took_s < _DEADLINE_S
        self.payouts.append(Payout(attempt, sent_at, status, took_s, ended))
        result = status or ("connection ended" if ended else "no answer")
        self._record.add("payout", attempt, result, f"after {took_s:.3f} s")
        return answer is not None and not _closes(answer)

    def _build_read(self) -> bytes:
        attempt, headers = self._build_headers()
        # Such as a browser sends.
        for number in range(self._habits.fields):
            headers[f"X-Field-{number}"] = "value" * 6
        return wire.build_request("GET", f"/gifts/{attempt}", headers)

    def _build_payout(self) -> tuple[str, bytes]:
        attempt, headers = self._build_headers()
        body = b"x" * self._habits.payout_bytes
        return attempt, wire.build_request(
            "POST", f"/orders/{attempt}", headers, body
        )

    def _build_headers(self) -> tuple[str, dict[str, str]]:
        self._number += 1
        attempt = f"attempt{self._number:06d}"
        return attempt, {
            "Host": "desk.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(round(_DEADLINE_S * 1000)),
        }

    @contextlib.asynccontextmanager
    async def _open(self):  # type: ignore[no-untyped-def]
        """Opens a connection; None if that fails."""
        host, _, port = self._daemon.outbound.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                streams = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            yield None
            return
        try:
            yield streams
        finally:
            streams[1].close()

    async def _exchange(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        request: bytes,
    ) -> wire.Message | None:
        """Sends a request; returns its answer, None if there is none in time.

        The consumer waits for as long as the request says.
        """
        writer.write(request)
        try:
            async with asyncio.timeout(_DEADLINE_S):
                return await wire.read_message(reader)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return None


def build_routes(timeout_ms: int, latency_ms: int) -> list[dict[str, Any]]:
    """Returns the routes of readers and of payers.

    Args:
        timeout_ms: Timeout of payouts.
        latency_ms: Response-time goal of payouts.
    """
    return [
        fleets.build_route("gifts", "desk", targetLatencyMs=1500),
        fleets.build_route(
            "orders",
            "ledger",
            kind="non_idempotent",
            timeoutMs=timeout_ms,
            targetLatencyMs=latency_ms,
        ),
    ]


async def _cancel(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _closes(answer: wire.Message) -> bool:
    return answer.headers.get("connection", "").lower() == "close"
