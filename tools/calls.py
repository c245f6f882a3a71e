"""One call as a caller makes it, and what the caller got."""

from __future__ import annotations

import asyncio
import enum
import hashlib
import json
import time
from typing import Any, NamedTuple, TYPE_CHECKING

import aiohttp

from standins import content
from standins import worker

if TYPE_CHECKING:
    from tools import workload

OUTCOME_HEADER = "Merlintrestle-Outcome"
ORGANISATION_HEADER = "Merlintrestle-Organisation"
_READ_BYTES = 64 * 1024


class Verdict(enum.StrEnum):
    """What a caller got.

    Attributes:
        RIGHT: The whole answer to its own request.
        WRONG: An answer that is not its own.
        CUT: An answer that broke off, and was seen to.
        CUT_SHOWN_WHOLE: A download that ended cleanly but is not whole.
        NOT_RUN: Refused; it did not run.
        RAN: Failed; it ran.
        UNKNOWN: Failed; it may have run.
        FAILED: An error without an outcome.
        NOT_SENT: No connection could be opened.
        TIMEOUT: Nothing came in the time the caller waits.
    """

    RIGHT = "right"
    WRONG = "wrong"
    CUT = "cut"
    CUT_SHOWN_WHOLE = "cut_shown_whole"
    NOT_RUN = "not-run"
    RAN = "ran"
    UNKNOWN = "unknown"
    FAILED = "failed"
    NOT_SENT = "not_sent"
    TIMEOUT = "timeout"


class Request(NamedTuple):
    """What a caller wants once, however often it sends it.

    Attributes:
        class_load: Class of work.
        request_id: Its identity in the answers and in the runs.
        body: Body, empty for GET.
        download_bytes: Length of the answer of a large class.
        download_rate: Bytes per second at which it is sent.
        crash: Crashes the backend server that runs it.
    """

    class_load: workload.ClassLoad
    request_id: str
    body: bytes = b""
    download_bytes: int = 0
    download_rate: int = 0
    crash: bool = False


class Attempt(NamedTuple):
    """One sending of a request and what came of it.

    Attributes:
        attempt_id: Its identity in the runs.
        entry: URL of the daemon that was asked.
        started_ms: Milliseconds since 1970.
        latency_ms: Milliseconds until the whole answer or the failure.
        status: HTTP status; 0: none.
        verdict: What the caller got.
        retry_after_s: When to come back, as told; None: not told.
    """

    attempt_id: str
    entry: str
    started_ms: int
    latency_ms: float
    status: int
    verdict: Verdict
    retry_after_s: float | None


class _Received(NamedTuple):
    verdict: Verdict
    status: int = 0
    retry_after_s: float | None = None


async def send(
    session: aiohttp.ClientSession,
    entry: str,
    request: Request,
    number: int,
    timeout_s: float,
) -> Attempt:
    """Sends a request once, through one daemon.

    Args:
        session: Client to send by.
        entry: URL of the daemon.
        request: What to send.
        number: 0 for the first sending, 1 for the next.
        timeout_s: Longest wait in seconds for the whole answer.
    """
    attempt_id = f"{request.request_id}.{number}"
    started_ms = time.time_ns() // 1_000_000
    began = time.perf_counter()
    try:
        async with asyncio.timeout(timeout_s):
            received = await _exchange(session, entry, request, attempt_id)
    except TimeoutError:
        received = _Received(Verdict.TIMEOUT)
    latency_ms = (time.perf_counter() - began) * 1000
    return Attempt(
        attempt_id,
        entry,
        started_ms,
        latency_ms,
        received.status,
        received.verdict,
        received.retry_after_s,
    )


async def _exchange(
    session: aiohttp.ClientSession,
    entry: str,
    request: Request,
    attempt_id: str,
) -> _Received:
    load = request.class_load
    url = f"{entry}/{load.service}{load.prefix}/{request.request_id}"
    if load.large:
        url += f"?bytes={request.download_bytes}&rate={request.download_rate}"
    try:
        async with session.request(
            load.method,
            url,
            data=request.body or None,
            headers=_build_headers(request, attempt_id),
        ) as answer:
            return await _receive(answer, request)
    except aiohttp.ClientPayloadError:
        return _Received(Verdict.CUT)
    except aiohttp.ClientConnectorError:
        return _Received(Verdict.NOT_SENT)
    except aiohttp.ClientError:
        return _Received(Verdict.FAILED)


def _build_headers(request: Request, attempt_id: str) -> dict[str, str]:
    headers = {
        worker.REQUEST_ID_HEADER: request.request_id,
        worker.ATTEMPT_ID_HEADER: attempt_id,
        ORGANISATION_HEADER: request.class_load.organisation,
    }
    if not request.class_load.repeatable:
        headers[worker.IDEMPOTENCY_KEY_HEADER] = request.request_id
    if request.crash:
        headers[worker.CRASH_HEADER] = "1"
    return headers


async def _receive(
    answer: aiohttp.ClientResponse, request: Request
) -> _Received:
    if answer.status != 200:
        await answer.read()
        outcome = answer.headers.get(OUTCOME_HEADER, "")
        known = (Verdict.NOT_RUN, Verdict.RAN, Verdict.UNKNOWN)
        verdict = Verdict(outcome) if outcome in known else Verdict.FAILED
        told = answer.headers.get("Retry-After")
        retry_after_s = float(told) if told else None
        return _Received(verdict, answer.status, retry_after_s)
    if request.class_load.large:
        return _Received(await _check_download(answer, request), 200)
    text = await answer.read()
    return _Received(_check_answer(text, request), 200)


def _check_answer(text: bytes, request: Request) -> Verdict:
    try:
        fields: dict[str, Any] = json.loads(text)
    except ValueError:
        return Verdict.CUT_SHOWN_WHOLE
    body_sha256 = hashlib.sha256(request.body).hexdigest()
    own = (
        fields.get("request_id") == request.request_id
        and fields.get("body_sha256") == body_sha256
        and fields.get("service") == request.class_load.service
    )
    return Verdict.RIGHT if own else Verdict.WRONG


async def _check_download(
    answer: aiohttp.ClientResponse, request: Request
) -> Verdict:
    digest = hashlib.sha256()
    received = 0
    async for chunk in answer.content.iter_chunked(_READ_BYTES):
        digest.update(chunk)
        received += len(chunk)
    total = request.download_bytes
    if received != total:
        return Verdict.CUT_SHOWN_WHOLE
    expected = content.compute_checksum(request.request_id, total)
    own = digest.hexdigest() == expected
    return Verdict.RIGHT if own else Verdict.WRONG
