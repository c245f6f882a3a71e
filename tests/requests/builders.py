"""Builders of test data and daemons for the data path."""

from __future__ import annotations

import asyncio
import contextlib
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

# Timeout of all requests of a client of `open_client`, in seconds.
TEST_TIMEOUT_S = 10.0
# Time from the start of a call to its deadline in `build_short_plans`, in
# seconds.
SHORT_DEADLINE_S = 1.0


def build_plan(name: str = "lookup", **fields: Any) -> snapshot.ClassPlan:
    """Builds the plan of a repeatable class of kassa with small answers.

    Args:
        name: Name of the class.
        **fields: Fields of the plan that differ from the default.
    """
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
    """Builds the plans of the classes of work of kassa, by path prefix."""
    return {
        "/payouts": build_plan(
            "payout", repeatable=False, key_required=True, importance=5
        ),
        "/archive": build_plan("archive", large=True, importance=1),
        "/": build_plan(),
    }


def build_short_plans() -> dict[str, snapshot.ClassPlan]:
    """Builds plans with the deadline `SHORT_DEADLINE_S`, by path prefix."""
    return {
        "/payouts": build_plan(
            "payout", repeatable=False, deadline_s=SHORT_DEADLINE_S
        ),
        "/": build_plan(deadline_s=SHORT_DEADLINE_S),
    }


def build_snapshot(
    plans: dict[str, snapshot.ClassPlan] | None = None, version: int = 1
) -> snapshot.Snapshot:
    """Builds the snapshot of a configuration version with the service kassa.

    Args:
        plans: Plans of classes of work by path prefix; by default those of
            `build_plans`.
        version: Number of the version.
    """
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
        routes={
            organisation: tuple(organisation_routes)
            for organisation, organisation_routes in routes.items()
        },
    )
    return snapshot.Snapshot(version, {}, {"kassa": service})


def build_upstream(number: int, **fields: Any) -> table.Upstream:
    """Builds an upstream with 12 slots that became ready long ago.

    Args:
        number: Last byte of its IP address.
        **fields: Fields of the upstream that differ from the default.
    """
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
    """A test daemon: a real proxy, its backend server, and fakes of the rest.

    Attributes:
        proxy: The proxy.
        active_version: Its fake `interfaces.ActiveVersion`.
        table: Its fake member table.
        settings: Its settings.
        store: Its fake store.
        backend: HTTP server of the backend server.
        control: gRPC server that answers recalls.
        served: Method and path of each request that the backend server
            received.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
        | None = None,
        running: snapshot.Snapshot | None = None,
        slots: int = 12,
        store: Any = None,
    ):
        """Initializes a node; `start` starts it.

        Args:
            handler: Handler of the backend server; by default it echoes bodies.
            running: Snapshot of the active configuration version; by default
                that of `build_snapshot`.
            slots: Slots of the backend server.
            store: The store; by default a new fake store.
        """
        super().__init__()
        self.active_version = fakes.FakeActiveVersion(
            running or build_snapshot()
        )
        self.served: list[tuple[str, str]] = []
        self.table = fakes.FakeMemberTable()
        self._handler = handler or _answer_ok
        self._slots = slots
        self.settings = settings_pb2.DaemonSettings(
            address="127.0.0.1", zone="noord", claims="claims/"
        )
        self.store: Any = store or fakes.FakeStore()
        self.proxy = self._build_proxy()

    def _build_proxy(self) -> proxies.Proxy:
        return proxies.Proxy(
            self.settings,
            self.active_version,
            self.table,
            self.store,
        )

    async def start(self, settling_s: float = 0.0) -> Node:
        """Starts the servers, announces the backend server and returns self.

        Args:
            settling_s: Time without new claims after the store came back from a
                copy, in seconds; 0: the default.
        """
        if settling_s:
            self.settings.store_settling_s = settling_s
            self.proxy = self._build_proxy()
        self.backend = server.Server(self._serve)
        await self.backend.start("127.0.0.1", 0)
        self.push_async_callback(self.backend.close)
        self.control = grpc.aio.server()
        request_pb2_grpc.add_RequestsServicer_to_server(
            self.proxy.recall_servicer, self.control
        )
        self.proxy.control_port = self.control.add_insecure_port("127.0.0.1:0")
        await self.control.start()
        self.push_async_callback(self.control.stop, 0)
        await self.proxy.start()
        self.push_async_callback(self.proxy.stop)
        self.proxy.set_on_leaving(lambda *_: self.proxy.backend.retire())
        self.proxy.backend.announce(
            "kassa", f"127.0.0.1:{self.backend.port}", self._slots
        )
        return self

    @property
    def member_id(self) -> str:
        """Member id of the daemon."""
        return f"127.0.0.1:{self.proxy.control_port}"

    @property
    def url(self) -> str:
        """URL to which callers send requests for kassa."""
        return f"http://127.0.0.1:{self.proxy.caller_port}/kassa"

    @property
    def budget(self) -> budgets.Budget:
        """The retry budget for kassa."""
        return self.proxy._budgets.get("kassa")

    @property
    def picker(self) -> picking.Picker:
        """The upstream picker of the proxy."""
        return self.proxy._dispatcher._picker

    def exhaust_budget(self) -> None:
        """Spends the whole retry budget for kassa."""
        budget = self.budget
        while budget.try_spend():
            pass

    def add_upstream(self, node: Node) -> None:
        """Adds a node to the upstreams of kassa in this node's member table."""
        upstreams = self.table.upstreams.get("kassa", ())
        self.table.upstreams["kassa"] = (*upstreams, node.build_upstream())

    def build_upstream(self) -> table.Upstream:
        """Builds the upstream by which other nodes reach this node."""
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
        """Replaces the handler of the backend server."""
        self._handler = handler

    def forget_notices(self) -> None:
        """Makes the daemon know as little of its server as after a start."""
        self.proxy._local_runner.notices.reset()

    def list_transports(self) -> list[asyncio.Transport]:
        """Returns the transports of the open connections of callers."""
        return [
            connection.transport
            for connection in self.proxy._caller_server.connections
            if connection.transport is not None
        ]

    def crash(self) -> None:
        """Closes all sockets of the backend server, as if it were killed."""
        listener = self.backend._listener
        assert listener is not None
        listener.close()
        for connection in self.backend.connections:
            if connection.transport is not None:
                connection.transport.abort()

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        self.served.append((request.method, request.raw_path))
        return await self._handler(request)


async def _answer_ok(request: web.BaseRequest) -> web.StreamResponse:
    body = await request.read()
    return web.Response(body=b"ok:" + body, headers={"X-Backend": "yes"})


@contextlib.asynccontextmanager
async def run_nodes(
    count: int, isolated: bool = False, **options: Any
) -> AsyncIterator[list[Node]]:
    """Runs several daemons that share a store.

    Args:
        count: Number of daemons.
        isolated: Whether each daemon has only its local backend server as an
            upstream, instead of the backend servers of all daemons.
        **options: Passed to `Node`.

    Yields:
        The nodes.
    """
    options.setdefault("store", fakes.FakeStore())
    async with contextlib.AsyncExitStack() as stack:
        nodes = []
        for _ in range(count):
            node = await stack.enter_async_context(Node(**options))
            nodes.append(await node.start())
        for node in nodes:
            for upstream_node in nodes:
                if upstream_node is node or not isolated:
                    node.add_upstream(upstream_node)
            node.proxy.crashes.send_strike = _build_strike_sender(nodes)
        yield nodes


def _build_strike_sender(
    nodes: list[Node],
) -> Callable[[control_pb2.Strike], None]:
    """Returns a function that sends a strike to all nodes."""

    def send_strike(strike: control_pb2.Strike) -> None:
        for node in nodes:
            node.proxy.crashes.strikes.add(strike)

    return send_strike


@contextlib.asynccontextmanager
async def open_client() -> AsyncIterator[aiohttp.ClientSession]:
    """Opens an HTTP client with a total timeout of `TEST_TIMEOUT_S`."""
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
    """Returns the status and body of an answer; None if the request failed."""
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
    latency_deadline: float = float("inf"),
    return_trip_s: float = 0.0,
    workspace: str = "",
) -> calls.Call:
    """Builds a call as the daemon of the called backend server receives it.

    Args:
        key: Its idempotency key.
        deadline: Monotonic time of its deadline, in seconds.
        body: Its body.
        plan: Plan of its class of work; by default that of payouts.
        latency_deadline: Monotonic time by which its latency target is met, in
            seconds.
        return_trip_s: Time that a refusal takes to the daemon of the caller,
            in seconds.
        workspace: Name of the workspace of its caller.
    """
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
        return_trip_s=return_trip_s,
        latency_deadline=latency_deadline,
        depth=0,
        attempt_number=0,
        key=key,
        workspace=workspace,
    )


def shorten_probe_delays(
    case: unittest.TestCase, *delays: str, wait_s: float = 0.02
) -> None:
    """Shortens, for one test, the delays after which silent peers are probed.

    Args:
        case: The test.
        *delays: Names of constants of `watchdogs`; by default the minimum time
            after which a call is slow.
        wait_s: Their value during the test, in seconds.
    """
    for name in delays or ("MIN_SLOW_CALL_S",):
        case.enterContext(mock.patch.object(watchdogs, name, wait_s))


def fake_probes(
    case: unittest.TestCase,
    result: probes.ProbeResult,
    on_probe: Callable[[], Any],
) -> None:
    """Replaces, for one test, the results of all probes by a fixed result.

    Args:
        case: The test.
        result: The result of each probe.
        on_probe: Called on each probe.
    """

    async def probe(*arguments: Any) -> probes.ProbeResult:
        on_probe()
        return result

    case.enterContext(mock.patch.object(probes, "send_probe", probe))


def spy_on_method(owner: type, name: str) -> Any:
    """Returns a patch that records the calls of a method and still runs it."""
    return mock.patch.object(
        owner, name, autospec=True, side_effect=getattr(owner, name)
    )
