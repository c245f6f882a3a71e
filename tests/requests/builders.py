"""Builders of test data for the data path."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import Any, TYPE_CHECKING
from unittest import mock

import aiohttp
from aiohttp import web
import grpc.aio
import multidict

from merlintrestle.documents import snapshot
from merlintrestle.members import table
from merlintrestle.requests.calls import call as calls
from merlintrestle.requests.serving import proxy as proxies
from merlintrestle.requests.transport import bodies
from merlintrestle.requests.transport import probes
from merlintrestle.requests.transport import server
from merlintrestle.requests.transport import watchdogs
from merlintrestle.schema import control_pb2
from merlintrestle.schema import request_pb2_grpc
from merlintrestle.schema import settings_pb2
from tests.requests import fakes

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable
    import unittest

    from merlintrestle.requests.load import budgets
    from merlintrestle.requests.load import picking

TEST_TIMEOUT_S = 10.0
# Time of a short call, in seconds.
SHORT_DEADLINE_S = 1.0


def build_plan(name: str = "lookup", **fields: Any) -> snapshot.ClassPlan:
    """Builds a class of work of kassa; repeatable and small."""
    plan = snapshot.ClassPlan(
        organisation="zaanoever",
        service="kassa",
        name=name,
        latency_s=0.2,
        share=0.99,
        availability=0.999,
        repeatable=True,
        importance=3,
        rate=100.0,
        work_s=0.01,
        large=False,
        deadline_s=5.0,
        key_required=False,
    )
    return plan._replace(**fields)


def build_plans() -> dict[str, snapshot.ClassPlan]:
    """Builds the classes of work of kassa by the prefix they match."""
    return {
        "/payouts": build_plan(
            "payout", repeatable=False, key_required=True, importance=5
        ),
        "/archive": build_plan("archive", large=True, importance=1),
        "/": build_plan(),
    }


def build_short_plans() -> dict[str, snapshot.ClassPlan]:
    """Builds classes of work that are over after `SHORT_S`."""
    return {
        "/payouts": build_plan(
            "payout", repeatable=False, deadline_s=SHORT_DEADLINE_S
        ),
        "/": build_plan(deadline_s=SHORT_DEADLINE_S),
    }


def build_snapshot(
    plans: dict[str, snapshot.ClassPlan] | None = None, version: int = 1
) -> snapshot.Snapshot:
    """Builds a version with the service kassa."""
    plans = plans or build_plans()
    routes: dict[str, list[snapshot.Route]] = {}
    for prefix in sorted(plans, key=len, reverse=True):
        plan = plans[prefix]
        routes.setdefault(plan.organisation, []).append(
            snapshot.Route("*", prefix, plan)
        )
    service = snapshot.ServicePlan(
        name="kassa",
        owner="zaanoever",
        calls=(),
        classes=tuple(plans.values()),
        routes={name: tuple(found) for name, found in routes.items()},
    )
    return snapshot.Snapshot(version, {}, {"kassa": service})


def build_upstream(number: int, **fields: Any) -> table.Upstream:
    """Builds an upstream with 12 slots that has long been ready."""
    upstream = table.Upstream(
        member_id=f"10.0.0.{number}:1",
        address=f"10.0.0.{number}",
        peer_port=2,
        zone="noord",
        region="local",
        slots=12,
        ready_since_ms=1,
        suspect=False,
    )
    return upstream._replace(**fields)


class Node(contextlib.AsyncExitStack):
    """A daemon's proxy with its backend server.

    Attributes:
        proxy: The proxy.
        holder: Its fake holder.
        table: Its fake table of members.
        served: Requests that the backend server saw: method and path.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
        | None = None,
        running: snapshot.Snapshot | None = None,
        slots: int = 12,
        store: Any = None,
    ):
        super().__init__()
        self.holder = fakes.Holder(running or build_snapshot())
        self.served: list[tuple[str, str]] = []
        self.table = fakes.Table()
        self._handler = handler or _answer_ok
        self._slots = slots
        self.settings = settings_pb2.DaemonSettings(
            address="127.0.0.1", zone="noord", claims="claims/"
        )
        self.store = store or fakes.Store()
        self.proxy = proxies.Proxy(
            self.settings,
            self.holder,
            self.table,
            self.store,
        )

    async def start(self) -> Node:
        """Starts the backend server and the proxy, and announces both."""
        self.backend = server.Server(self._serve)
        await self.backend.start("127.0.0.1", 0)
        self.push_async_callback(self.backend.close)
        self.control = grpc.aio.server()
        request_pb2_grpc.add_RequestsServicer_to_server(
            self.proxy.recalls, self.control
        )
        self.proxy.control_port = self.control.add_insecure_port("127.0.0.1:0")
        await self.control.start()
        self.push_async_callback(self.control.stop, 0)
        await self.proxy.start()
        self.push_async_callback(self.proxy.stop)
        self.proxy.backend.announce(
            "kassa", f"127.0.0.1:{self.backend.port}", self._slots
        )
        return self

    @property
    def member_id(self) -> str:
        """Id of the daemon."""
        return f"127.0.0.1:{self.proxy.control_port}"

    @property
    def url(self) -> str:
        """Where callers send requests for kassa."""
        return f"http://127.0.0.1:{self.proxy.caller_port}/kassa"

    @property
    def budget(self) -> budgets.Budget:
        """The budget for further tries of calls of kassa."""
        return self.proxy._budgets.get("kassa")

    @property
    def picker(self) -> picking.Picker:
        """What picks the upstreams."""
        return self.proxy._dispatch._picker

    def exhaust_budget(self) -> None:
        """Leaves no budget for further tries."""
        budget = self.budget
        while budget.try_spend():
            pass

    def add_upstream(self, other: Node) -> None:
        """Puts a node into this one's table of members."""
        known = self.table.upstreams.get("kassa", ())
        self.table.upstreams["kassa"] = (*known, other.build_upstream())

    def build_upstream(self) -> table.Upstream:
        """Builds what the others know of this node."""
        return table.Upstream(
            member_id=self.member_id,
            address="127.0.0.1",
            peer_port=self.proxy.peer_port,
            zone="noord",
            region="local",
            slots=self._slots,
            ready_since_ms=1,
            suspect=False,
        )

    def use_handler(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> None:
        """Has the backend server answer by another handler."""
        self._handler = handler

    def list_transports(self) -> list[asyncio.Transport]:
        """Returns the connections of callers."""
        return [
            connection.transport
            for connection in self.proxy._caller_server.connections
            if connection.transport is not None
        ]

    def crash(self) -> None:
        """Ends the backend server as a killed process ends."""
        listener = self.backend._listener
        assert listener is not None
        listener.close()
        for connection in self.backend.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.served.append((request.method, request.raw_path))
        return await self._handler(request)


class SlowDownload:
    """A download whose last bytes a slow caller keeps the daemon from sending.

    Attributes:
        length: Bytes that the backend server sent.
    """

    _PIECE = bytes(8 * 1024)

    def __init__(self, node: Node):
        self.length = 0
        self._node = node

    async def request(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Asks for it over a connection that takes little unread."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        port = self._node.proxy.caller_port
        await loop.sock_connect(sock, ("127.0.0.1", port))
        reader, writer = await asyncio.open_connection(sock=sock, limit=1024)
        writer.write(
            b"GET /kassa/archive HTTP/1.1\r\nHost: a\r\n"
            b"Connection: close\r\n\r\n"
        )
        return reader, writer

    async def send(self, request: web.BaseRequest) -> web.StreamResponse:
        """Sends until the daemon cannot pass all of it on at once."""
        answer = web.StreamResponse()
        await answer.prepare(request)
        while not self._get_held_back():
            await answer.write(self._PIECE)
            self.length += len(self._PIECE)
            for _ in range(10):
                await asyncio.sleep(0)
        await answer.write_eof()
        return answer

    async def wait_until_held_back(self) -> None:
        """Waits until only the slow caller keeps the answer from its end."""
        while self._node.proxy.in_flight or not self.length:
            await asyncio.sleep(0)
        assert self._get_held_back()

    def _get_held_back(self) -> int:
        return sum(
            transport.get_write_buffer_size()
            for transport in self._node.list_transports()
        )


async def _answer_ok(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    return web.Response(body=b"ok:" + body, headers={"X-Backend": "yes"})


@contextlib.asynccontextmanager
async def run_nodes(
    count: int, apart: bool = False, **options: Any
) -> AsyncIterator[list[Node]]:
    """Runs several daemons that share a store.

    Args:
        count: How many.
        apart: Each knows its own backend server alone, not the others'.
        **options: Passed to each node.
    """
    options.setdefault("store", fakes.Store())
    async with contextlib.AsyncExitStack() as stack:
        nodes = []
        for _ in range(count):
            node = await stack.enter_async_context(Node(**options))
            nodes.append(await node.start())
        for node in nodes:
            for other in nodes:
                if other is node or not apart:
                    node.add_upstream(other)
            node.proxy.crashes.send_strike = _tell_all(nodes)
        yield nodes


def _tell_all(
    nodes: list[Node],
) -> Callable[[control_pb2.Strike], None]:
    def tell(strike: control_pb2.Strike) -> None:
        for node in nodes:
            node.proxy.crashes.strikes.add(strike)

    return tell


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[aiohttp.ClientSession]:
    """Opens an HTTP client, guarded by a generous timeout."""
    async with (
        asyncio.timeout(TEST_TIMEOUT_S),
        aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TEST_TIMEOUT_S)
        ) as session,
    ):
        yield session


async def fetch(
    client: aiohttp.ClientSession, url: str, method: str = "GET", **options: Any
) -> tuple[int, bytes] | None:
    """Returns status and body of an answer; None if it came broken."""
    try:
        async with client.request(method, url, **options) as answer:
            return answer.status, await answer.read()
    except aiohttp.ClientError:
        return None


def build_call(
    key: str = "k",
    deadline: float = float("inf"),
    body: bytes = b"pay",
    plan: snapshot.ClassPlan | None = None,
    due: float = float("inf"),
    way_back_s: float = 0.0,
) -> calls.Call:
    """Builds a payout as the daemon beside the backend server sees it."""
    plan = plan or build_plans()["/payouts"]
    return calls.Call(
        service=plan.service,
        plan=plan,
        method="POST",
        target="/payouts/1",
        organisation=plan.organisation,
        headers=multidict.CIMultiDict(),
        body=bodies.Body(body, len(body)),
        deadline=deadline,
        return_trip_s=way_back_s,
        latency_deadline=due,
        depth=0,
        attempt=0,
        key=key,
    )


def shorten_probe_delays(
    case: unittest.TestCase, *waits: str, wait_s: float = 0.02
) -> None:
    """Has calls be in doubt soon, until the test ends.

    Args:
        case: The test.
        *waits: Names of the waits; by default the one for the first byte.
        wait_s: What they last, in seconds.
    """
    for name in waits or ("FIRST_BYTE_TIMEOUT_S",):
        case.enterContext(mock.patch.object(watchdogs, name, wait_s))


def fake_probes(
    case: unittest.TestCase, view: probes.ProbeResult, note: Callable[[], Any]
) -> None:
    """Has each question about a call noted and answered so, in this test."""

    async def ask(*arguments: Any) -> probes.ProbeResult:
        note()
        return view

    case.enterContext(mock.patch.object(probes, "ask", ask))


def spy_on_method(owner: type, name: str) -> Any:
    """Returns a patch by which a method's calls are recorded and still run."""
    return mock.patch.object(
        owner, name, autospec=True, side_effect=getattr(owner, name)
    )
