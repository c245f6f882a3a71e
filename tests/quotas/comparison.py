"""Compares schemes for quotas on the same loads: `python -m` this module.

Prints the share of the calls that one token bucket for all daemons would have
admitted, the largest excess over the limit of a window, and the messages per
daemon and second.
"""

from __future__ import annotations

import asyncio
import functools
import logging
from typing import Any, NamedTuple, TYPE_CHECKING

from tests.quotas import builders

if TYPE_CHECKING:
    from merlintrestle.documents import snapshot

_DAEMONS = 58
_REPORT_INTERVAL_S = 1.0


class _Refusal(NamedTuple):
    status: int


class _Shares:
    """Each daemon has a share of the rate, in a token bucket of its own.

    With `by_report`, the shares follow the calls of the last second, as a
    coordinator that all daemons report to would set them; otherwise they are
    equal. A daemon that is cut off keeps its share.
    """

    def __init__(self, fleet: builders.Fleet, by_report: bool) -> None:
        self.messages = 0
        self._fleet = fleet
        self._by_report = by_report
        self._shares: dict[tuple[int, str], float] = {}
        self._levels: dict[tuple[int, str], tuple[float, float]] = {}
        self._asked: dict[tuple[int, str], int] = {}
        for daemon in fleet.daemons:
            quotas: Any = daemon.quotas
            quotas.spend = self._build_spend(daemon)

    def _build_spend(self, daemon: builders.Daemon) -> Any:
        async def spend(workspace: snapshot.Workspace, wait_s: float) -> Any:
            del wait_s
            key = (daemon.index, workspace.name)
            self._asked[key] = self._asked.get(key, 0) + 1
            share = self._shares.get(key, 1 / _DAEMONS)
            now = builders.get_time()
            most = max(1.0, workspace.burst * share)
            level, at = self._levels.get(key, (most, now))
            level = min(most, level + (now - at) * workspace.rate * share)
            granted = level >= 1
            self._levels[key] = (level - granted, now)
            return None if granted else _Refusal(429)

        return spend

    async def run(self) -> None:
        """Sets the shares by the reports, until cancelled."""
        while self._by_report:
            await asyncio.sleep(_REPORT_INTERVAL_S)
            totals: dict[str, int] = {}
            asked, self._asked = self._asked, {}
            for (_, name), count in asked.items():
                totals[name] = totals.get(name, 0) + count
            for daemon in self._fleet.daemons:
                if daemon.group:
                    continue
                self.messages += 1
                for name, total in totals.items():
                    key = (daemon.index, name)
                    self._shares[key] = asked.get(key, 0) / total


def _count_owed(workspace: snapshot.Workspace, sent: list[float]) -> int:
    """Returns how many calls one bucket for all daemons would admit."""
    level, before, owed = workspace.burst + 1, sent[0], 0
    for at in sent:
        most = workspace.burst + 1
        level, before = min(most, level + (at - before) * workspace.rate), at
        if level >= 1:
            level -= 1
            owed += 1
    return owed


async def _play(scheme: str, load: str) -> str:
    workspace = builders.build_workspace("w", 1.6, 5)
    phases: list[tuple[range, float, float]] = [(range(_DAEMONS), 1.3, 60)]
    if load == "one daemon":
        workspace = builders.build_workspace("w", 60, 30)
        phases = [(range(7, 8), 50, 30)]
    elif load in ("zones", "zones cut"):
        workspace = builders.build_workspace("w", 60, 30)
        phases = [(range(29), 50, 7), (range(29, 58), 50, 7)] * 2
    elif load == "greedy":
        workspace = builders.build_workspace("w", 60, 30)
        phases = [(range(_DAEMONS), 400, 30)]
    fleet = builders.Fleet(_DAEMONS, [workspace])
    sent: list[float] = []
    if scheme == "tokens":
        await fleet.start(8)
        shares = None
    else:
        shares = _Shares(fleet, scheme == "reports")
        fleet.spawn(shares.run())
    begin = builders.get_time()
    requests = sum(daemon.requests for daemon in fleet.daemons)
    for index, (daemons, rate, duration_s) in enumerate(phases):
        if load == "zones cut" and index == 1:
            # The daemons that had the calls are cut off, and their callers
            # remain; as many call the others.
            for daemon in fleet.daemons[:29]:
                daemon.group = 1
            rate, daemons = 2 * rate, range(_DAEMONS)
        ends_at = builders.get_time() + duration_s
        while builders.get_time() < ends_at:
            await asyncio.sleep(fleet.rng.expovariate(rate))
            sent.append(builders.get_time())
            daemon = fleet.daemons[fleet.rng.choice(daemons)]
            fleet.spawn(daemon.send_call(workspace))
    await asyncio.sleep(0.5)
    messages = sum(daemon.requests for daemon in fleet.daemons) - requests
    if shares is not None:
        messages = shares.messages
    elapsed_s = builders.get_time() - begin
    return (
        f"{load:12} {scheme:8}"
        f" owed {len(fleet.ran['w']) / _count_owed(workspace, sent):6.1%}"
        f" excess {fleet.find_excess(workspace):7.1f}"
        f" messages {messages / _DAEMONS / elapsed_s:.2f}"
    )


def main() -> None:
    """Prints a line for each load and scheme."""
    logging.disable(logging.CRITICAL)
    for load in ("spread", "one daemon", "zones", "zones cut", "greedy"):
        for scheme in ("fixed", "reports", "tokens"):
            print(builders.run(functools.partial(_play, scheme, load)))


if __name__ == "__main__":
    main()
