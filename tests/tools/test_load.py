"""Tests of the load's plan and of its calls."""

from __future__ import annotations

import pathlib
import random
import tempfile
import unittest

import aiohttp

from standins import plain_random_proxy
from tests.standins import builders as standin_builders
from tests.tools import builders
from tools import calls
from tools import load


class PlanTest(unittest.TestCase):
    def test_seed_determines_the_requests(self) -> None:
        """Guards against runs that cannot be repeated with their seed."""
        plan = load.Plan([], [builders.build_class()], 1.0, 2.0, seed=7)
        requests = list(load.generate_requests(plan))
        self.assertEqual(requests, list(load.generate_requests(plan)))
        self.assertGreater(len(requests), 0)
        other_plan = plan._replace(seed=8)
        self.assertNotEqual(requests, list(load.generate_requests(other_plan)))

    def test_plan_and_results_are_read_as_written(self) -> None:
        """Guards against fields lost on the way to or from a load process.

        Plan and results pass through files of JSON, which has no named tuples
        and no enums.
        """
        plan = load.Plan(["e"], [builders.build_class()], 1.0, 2.0, seed=7)
        results = [builders.build_result("r", calls.Verdict.UNKNOWN)]
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "file"
            load.write_plan(plan, path)
            self.assertEqual(load.read_plan(path), plan)
            load.write_results(results, path)
            self.assertEqual(load.read_results(path), results)


class CallTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.backend = await standin_builders.start_backend(self)
        self.proxy = plain_random_proxy.PlainRandomProxy()
        await self.proxy.start()
        self.addAsyncCleanup(self.proxy.close)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.entry = f"http://127.0.0.1:{self.proxy.port}"

    async def test_correct_answer_is_recognised(self) -> None:
        """Guards against a correct answer that is counted as harm."""
        self.proxy.upstreams = {"balie": [self.backend.address]}
        class_load = builders.build_class(service="balie")
        result = await self._call(calls.Request(class_load, "r1", b"body"))
        self.assertEqual(result.verdict, calls.Verdict.RIGHT)

    async def test_answer_of_another_service_is_wrong(self) -> None:
        """Guards against an answer of a wrong service that is taken as correct.

        The proxy sends calls of `kassa` to a backend server of `balie`.
        """
        self.proxy.upstreams = {"kassa": [self.backend.address]}
        result = await self._call(
            calls.Request(builders.build_class(), "r1", b"body")
        )
        self.assertEqual(result.verdict, calls.Verdict.WRONG)

    async def test_complete_download_is_correct(self) -> None:
        """Guards against a complete download that is counted as cut or wrong.

        It arrives in several chunks, of which length and checksum are taken.
        """
        self.proxy.upstreams = {"balie": [self.backend.address]}
        class_load = builders.build_class(
            service="balie", method="GET", repeatable=True, large=True
        )
        request = calls.Request(
            class_load, "r1", download_bytes=70_000, download_rate=10**9
        )
        result = await self._call(request)
        self.assertEqual(result.verdict, calls.Verdict.RIGHT)

    async def test_failed_payout_is_sent_three_times(self) -> None:
        """Guards against a payout that is given up early or retried for ever.

        The proxy has no upstreams and answers each attempt with an error
        without an outcome, so the caller retries and then gives up.
        """
        result = await self._call(
            calls.Request(builders.build_class(), "r1", b"body")
        )
        self.assertEqual(len(result.attempts), 3)
        self.assertEqual(result.verdict, calls.Verdict.FAILED)

    async def test_failed_repeatable_call_is_sent_once(self) -> None:
        """Guards against retries that the answer did not ask for.

        The proxy has no upstreams and answers with an error without an outcome.
        """
        class_load = builders.build_class(method="GET", repeatable=True)
        result = await self._call(calls.Request(class_load, "r1"))
        self.assertEqual(len(result.attempts), 1)

    async def test_refused_call_is_retried_once(self) -> None:
        """Guards against a refused call that is not retried, or more than once.

        The server refuses it each time as not run and says when to retry; the
        caller retries once, gets the same answer and gives up.
        """
        headers = {calls.OUTCOME_HEADER: "not-run", "Retry-After": "0.01"}
        self.entry, received = await standin_builders.start_recording_server(
            self, status=503, headers=headers
        )
        class_load = builders.build_class(method="GET", repeatable=True)
        result = await self._call(calls.Request(class_load, "r1"))
        self.assertEqual(len(received), 2)
        self.assertEqual(result.verdict, calls.Verdict.NOT_RUN)
        self.assertEqual(result.first_verdict, calls.Verdict.NOT_RUN)

    async def _call(self, request: calls.Request) -> load.Result:
        rng = random.Random(1)
        return await load.call_with_retries(
            self.session, [self.entry], request, rng
        )


if __name__ == "__main__":
    unittest.main()
