"""Sends single attempts of a caller's requests and checks the answers."""

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
_CHUNK_BYTES = 64 * 1024


class Verdict(enum.StrEnum):
    """What a caller received.

    The values of NOT_RUN, RAN and UNKNOWN are those of the outcome header.

    Attributes:
        RIGHT: The complete answer to the caller's request.
        WRONG: An answer that does not belong to the caller's request.
        CUT: An incomplete answer that ended with a transport error.
        CUT_SHOWN_WHOLE: An incomplete answer that ended without an error: no
            JSON or, for a download, a wrong length.
        NOT_RUN: An error whose outcome says that the request did not run.
        RAN: An error whose outcome says that the request ran.
        UNKNOWN: An error whose outcome says that the request may have run.
        FAILED: An error without an outcome, or no answer at all.
        NOT_SENT: No connection could be opened.
        TIMEOUT: No complete answer within the caller's timeout.
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
    """Request of a caller, which may take several attempts.

    Attributes:
        class_load: Class of work.
        request_id: Id that answers and the backend servers' ledger carry.
        body: Body; empty for GET and HEAD.
        download_bytes: Length in bytes of the answer of a large class.
        download_rate: Bytes per second at which that answer is sent.
        crash: Whether the request crashes the backend server that runs it.
    """

    class_load: workload.ClassLoad
    request_id: str
    body: bytes = b""
    download_bytes: int = 0
    download_rate: int = 0
    crash: bool = False


class Attempt(NamedTuple):
    """One attempt to send a request, and its result.

    Attributes:
        attempt_id: Id that the backend servers' ledger carries.
        entry: URL of the daemon that was called.
        started_ms: Start time in milliseconds since 1970.
        latency_ms: Milliseconds until the complete answer or the failure.
        status: HTTP status; 0 if there was no answer.
        verdict: What the caller received.
        retry_after_s: Seconds of the answer's Retry-After header; None if it
            had none.
    """

    attempt_id: str
    entry: str
    started_ms: int
    latency_ms: float
    status: int
    verdict: Verdict
    retry_after_s: float | None


class _Answer(NamedTuple):
    """What one attempt received; fields as in `Attempt`."""

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
        session: Client to send with.
        entry: URL of the daemon.
        request: Request to send.
        number: Number of the attempt, counted from 0.
        timeout_s: Timeout in seconds for the complete answer.
    """
    attempt_id = f"{request.request_id}.{number}"
    started_ms = time.time_ns() // 1_000_000
    began = time.perf_counter()
    try:
        async with asyncio.timeout(timeout_s):
            answer = await _exchange(session, entry, request, attempt_id)
    except TimeoutError:
        answer = _Answer(Verdict.TIMEOUT)
    latency_ms = (time.perf_counter() - began) * 1000
    return Attempt(
        attempt_id,
        entry,
        started_ms,
        latency_ms,
        answer.status,
        answer.verdict,
        answer.retry_after_s,
    )


async def _exchange(
    session: aiohttp.ClientSession,
    entry: str,
    request: Request,
    attempt_id: str,
) -> _Answer:
    class_load = request.class_load
    url = (
        f"{entry}/{class_load.service}{class_load.prefix}/{request.request_id}"
    )
    if class_load.large:
        url += f"?bytes={request.download_bytes}&rate={request.download_rate}"
    try:
        async with session.request(
            class_load.method,
            url,
            data=request.body or None,
            headers=_build_headers(request, attempt_id),
        ) as response:
            return await _receive_and_check(response, request)
    except aiohttp.ClientPayloadError:
        return _Answer(Verdict.CUT)
    except aiohttp.ClientConnectorError:
        return _Answer(Verdict.NOT_SENT)
    except aiohttp.ClientError:
        return _Answer(Verdict.FAILED)


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


async def _receive_and_check(
    response: aiohttp.ClientResponse, request: Request
) -> _Answer:
    if response.status != 200:
        await response.read()
        outcome = response.headers.get(OUTCOME_HEADER, "")
        outcomes = (Verdict.NOT_RUN, Verdict.RAN, Verdict.UNKNOWN)
        verdict = Verdict(outcome) if outcome in outcomes else Verdict.FAILED
        retry_after = response.headers.get("Retry-After")
        retry_after_s = float(retry_after) if retry_after else None
        return _Answer(verdict, response.status, retry_after_s)
    if request.class_load.large:
        return _Answer(await _check_download(response, request), 200)
    body = await response.read()
    return _Answer(_check_body(body, request), 200)


def _check_body(body: bytes, request: Request) -> Verdict:
    """Checks that an answer is complete and belongs to its request."""
    try:
        fields: dict[str, Any] = json.loads(body)
    except ValueError:
        return Verdict.CUT_SHOWN_WHOLE
    body_sha256 = hashlib.sha256(request.body).hexdigest()
    matches = (
        fields.get("request_id") == request.request_id
        and fields.get("body_sha256") == body_sha256
        and fields.get("service") == request.class_load.service
    )
    return Verdict.RIGHT if matches else Verdict.WRONG


async def _check_download(
    response: aiohttp.ClientResponse, request: Request
) -> Verdict:
    """Checks the length and the checksum of a download."""
    digest = hashlib.sha256()
    received_bytes = 0
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        digest.update(chunk)
        received_bytes += len(chunk)
    total_bytes = request.download_bytes
    if received_bytes != total_bytes:
        return Verdict.CUT_SHOWN_WHOLE
    expected = content.compute_checksum(request.request_id, total_bytes)
    matches = digest.hexdigest() == expected
    return Verdict.RIGHT if matches else Verdict.WRONG
