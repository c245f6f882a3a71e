"""Lifts the limit of one tenant and takes a key of another one away."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import tempfile
import time

from stage import fleet as fleets
from stage import recording
from stage import wire

_BOUNDS = {
    "revokeStrict": "true",
    "revokeMs": "5000",
    "quotaWindowS": "5",
    "quotaOvershoot": "0.1",
    "quotaSlack": "20",
    "retrySlack": "158",
}
_REVOKE_S = 5.0
_SERVICES = ["ledger", "ledger", "desk"]
# Sent so much later than the bound that no clock decides.
_SPARE_S = 1.5
_ROUNDS = 5


def build_configuration(version: int, changed: bool) -> bytes:
    """Returns a version; the changed one takes the key "beta-1" away."""
    limit: int | None = 50
    if changed and fleets.is_troubled():
        # The tenant has no limit any more: "0 or omitted means no limit".
        limit = None
    tenants = [
        {
            "name": "alpha",
            "apiKeys": ["alpha-1"],
            "ratePerS": limit,
            "burst": 20,
        },
        {
            "name": "beta",
            "apiKeys": ["beta-2"] if changed else ["beta-1", "beta-2"],
            "ratePerS": 50,
            "burst": 20,
        },
    ]
    routes = [
        fleets.build_route("gifts", "ledger"),
        fleets.build_route("orders", "desk", kind="non_idempotent"),
    ]
    return fleets.build_configuration(version, routes, tenants)


class Case:
    """Sends requests with keys, and notes which were run."""

    def __init__(self, fleet: fleets.Fleet, record: recording.Record):
        self._fleet = fleet
        self._record = record
        self._number = 0

    async def send(self, daemon: fleets.Daemon, key: str) -> tuple[int, bool]:
        """Sends a request; returns its status and whether it was run."""
        self._number += 1
        attempt = f"attempt{self._number:04d}"
        request = wire.build_request(
            "GET",
            f"/gifts/{self._number}",
            {
                "Host": "desk.example",
                "X-Attempt-Id": attempt,
                "X-Deadline-Ms": "2500",
                "Authorization": f"Bearer {key}",
                "Connection": "close",
            },
        )
        self._record.add("consumer", daemon.address, "sends", attempt, key)
        answer = await wire.fetch(daemon.outbound, request)
        status = answer.status if answer is not None else 0
        ran = any(
            attempt in machine.upstream.runs for machine in self._fleet.daemons
        )
        self._record.add("consumer", attempt, "gets", status, f"ran={ran}")
        return status, ran

    async def run(self) -> int:
        """Returns the exit status of the case."""
        await self._fleet.wait_until_ready()
        if not await self._wait_until_served():
            print("not served at the start")
            return 2
        text = build_configuration(8, changed=True)
        self._fleet.store.write("op/config", text)
        confirmed_at = time.monotonic()
        self._record.add("operator", "writes", text.decode())
        await fleets.wait_until(confirmed_at + _REVOKE_S + _SPARE_S)
        runs = 0
        for _ in range(_ROUNDS):
            for daemon in self._fleet.daemons:
                _, ran = await self.send(daemon, "beta-1")
                runs += ran
                await self.send(daemon, "beta-2")
            await asyncio.sleep(1.0)
        late_s = time.monotonic() - confirmed_at
        print(f"{runs} requests ran whose key was taken away")
        print(f"the last {late_s:.1f} s after the confirmation")
        return 1 if runs else 0

    async def _wait_until_served(self) -> bool:
        ends_at = time.monotonic() + 20
        for daemon in self._fleet.daemons:
            for key in ("alpha-1", "beta-1", "beta-2"):
                while (await self.send(daemon, key))[0] != 200:
                    if time.monotonic() > ends_at:
                        return False
                    await asyncio.sleep(0.3)
        return True


async def main() -> int:
    """Runs the case; returns its exit status."""
    record = recording.Record()
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(pathlib.Path(folder), record, bounds=_BOUNDS)
        try:
            await fleet.start(_SERVICES, build_configuration(7, changed=False))
            return await Case(fleet, record).run()
        except TimeoutError:
            print("the daemons are not ready")
            return 2
        finally:
            for daemon in fleet.daemons:
                for line in daemon.list_log("version refused"):
                    record.add("daemon", daemon.address, line)
            await fleet.close()
            record.save(pathlib.Path(__file__).with_name("record.txt"))


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
