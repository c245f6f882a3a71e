"""Consumers offer to change the protocol of their kept connections."""

from __future__ import annotations

import asyncio
import pathlib
import secrets
import time

from review.rig import fleet as fleets

_FOLDER = pathlib.Path(__file__).parent
_PLACES = [("balie", "weeghal-noord"), ("kassa", "weeghal-zuid")]
_CONNECTIONS = 12
# Of the route, and the time after it within which the rule wants an answer.
_TIMEOUT_MS = 1000
_GRACE_S = 0.5
# What HTTP clients send that know HTTP/2 as well (RFC 7540, section 3.2).
_OFFER = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAoAAAAAIAAAAA\r\n"
)


async def run(record: fleets.Record) -> int:
    """Returns 1 if the rule was broken, else 0.

    Of the requests without an answer at the timeout of their route, more than
    half must have one half a second later.
    """
    async with fleets.Fleet(record) as fleet:
        await fleet.start(
            _PLACES,
            fleets.build_configuration(
                5,
                fleets.build_route("tickets", "balie", timeoutMs=_TIMEOUT_MS),
            ),
        )
        await asyncio.sleep(5.0)
        results = await asyncio.gather(
            *(
                _use_connection(fleet, fleet.machines[number % 2])
                for number in range(_CONNECTIONS)
            )
        )
    late = sum(late for late, _ in results)
    lost = sum(lost for _, lost in results)
    record.write(
        f"{late} requests had no answer at the timeout of their route,"
        f" {lost} of them none half a second later"
    )
    return int(lost > late / 2)


async def _use_connection(
    fleet: fleets.Fleet, machine: fleets.Machine
) -> tuple[int, int]:
    """Sends two requests on a connection, the second after the first answer.

    Returns:
        The number of requests without an answer at the timeout of their route,
        and of those that have none half a second later either.
    """
    reader, writer = await asyncio.open_connection(machine.address, 8629)
    late = lost = 0
    for number in (1, 2):
        attempt = secrets.token_hex(8)
        offer = _OFFER if number == 1 and fleets.is_troubled() else ""
        writer.write(
            f"GET /tickets/{number} HTTP/1.1\r\nHost: {fleets.HOST}\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {_TIMEOUT_MS}\r\n"
            f"{offer}\r\n".encode()
        )
        sent_at = time.monotonic()
        try:
            async with asyncio.timeout(_TIMEOUT_MS / 1000 + _GRACE_S):
                answer = await _read_answer(reader)
        except TimeoutError:
            answer = "none"
            lost += 1
        took_s = time.monotonic() - sent_at
        late += took_s >= _TIMEOUT_MS / 1000
        fleet.record.write(
            f"{machine.address} request {number} {attempt}"
            f" {'with' if offer else 'without'} the offer:"
            f" answer {answer} after {took_s:.3f} s"
        )
    writer.close()
    return late, lost


async def _read_answer(reader: asyncio.StreamReader) -> str:
    """Returns the status line of the next answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    for line in head.split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            await reader.readexactly(int(value))
    return head.split("\r\n")[0]


if __name__ == "__main__":
    fleets.run(run, _FOLDER)
