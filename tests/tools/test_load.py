"""Tests of the load and its callers."""

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
    def test_same_seed_makes_the_same_requests(self) -> None:
        plan = load.Plan([], [builders.build_class()], 1.0, 2.0, seed=7)
        first = list(load.generate_requests(plan))
        self.assertEqual(first, list(load.generate_requests(plan)))
        self.assertGreater(len(first), 0)
        other = plan._replace(seed=8)
        self.assertNotEqual(first, list(load.generate_requests(other)))

    def test_plan_and_results_survive_their_files(self) -> None:
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

    async def test_right_answer_is_recognised(self) -> None:
        self.proxy.upstreams = {"balie": [self.backend.address]}
        target = builders.build_class(service="balie")
        result = await self._call(calls.Request(target, "r1", b"body"))
        self.assertEqual(result.verdict, calls.Verdict.RIGHT)

    async def test_answer_of_another_service_is_wrong(self) -> None:
        self.proxy.upstreams = {"kassa": [self.backend.address]}
        result = await self._call(
            calls.Request(builders.build_class(), "r1", b"body")
        )
        self.assertEqual(result.verdict, calls.Verdict.WRONG)

    async def test_download_is_checked_whole(self) -> None:
        self.proxy.upstreams = {"balie": [self.backend.address]}
        target = builders.build_class(
            service="balie", method="GET", repeatable=True, large=True
        )
        request = calls.Request(
            target, "r1", download_bytes=70_000, download_rate=10**9
        )
        result = await self._call(request)
        self.assertEqual(result.verdict, calls.Verdict.RIGHT)

    async def test_payout_without_an_answer_is_sent_again(self) -> None:
        """A payout that fails is sent three times with one key.

        The proxy knows no upstream and fails each sending without saying
        whether it ran, so its caller tries again and then gives up.
        """
        result = await self._call(
            calls.Request(builders.build_class(), "r1", b"body")
        )
        self.assertEqual(len(result.attempts), 3)
        self.assertEqual(result.verdict, calls.Verdict.FAILED)

    async def test_repeatable_call_that_failed_is_not_sent_again(self) -> None:
        target = builders.build_class(method="GET", repeatable=True)
        result = await self._call(calls.Request(target, "r1"))
        self.assertEqual(len(result.attempts), 1)

    async def test_caller_comes_back_once_when_told_to(self) -> None:
        """A refused lookup is sent once more and then given up.

        Each daemon refuses it as not run and says when to come back; a caller
        who does so gets the same answer and leaves.
        """
        headers = {calls.OUTCOME_HEADER: "not-run", "Retry-After": "0.01"}
        self.entry, seen = await standin_builders.start_recording_server(
            self, status=503, headers=headers
        )
        target = builders.build_class(method="GET", repeatable=True)
        result = await self._call(calls.Request(target, "r1"))
        self.assertEqual(len(seen), 2)
        self.assertEqual(result.verdict, calls.Verdict.NOT_RUN)
        self.assertEqual(result.first_verdict, calls.Verdict.NOT_RUN)

    async def _call(self, request: calls.Request) -> load.Result:
        chooser = random.Random(1)
        return await load.call_with_retries(
            self.session, [self.entry], request, chooser
        )


if __name__ == "__main__":
    unittest.main()
