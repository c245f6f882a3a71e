"""Polling of other daemons, and of the store, for proofs of freshness."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from typing import NamedTuple, TYPE_CHECKING, TypeVar

import mode
import prometheus_client

from merlintrestle import errors
from merlintrestle import supervision
from merlintrestle.members import timing as timing_lib
from merlintrestle.schema import control_pb2
from merlintrestle.versions import confirmed_keys

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from merlintrestle.members import membership as membership_lib
    from merlintrestle.versions import freshness as freshness_lib
    from merlintrestle.versions import watcher as watcher_lib

_T = TypeVar("_T")

# Longest and shortest time between two polls, in seconds. Within them, the next
# one is due when the proof is `_DUE_AGE_S` old.
_MAX_POLL_INTERVAL_S = 1.0
_MIN_POLL_INTERVAL_S = 0.4
_DUE_AGE_S = 1.8
# Age of a proof up to which a watcher does not read the store again for a poll.
MAX_ANSWER_AGE_S = 0.8
# Time to the next poll after one that brought no recent proof, doubled with
# each further one. The maximum is lower while requests are still admitted. Also
# the shortest time between two polls, however many requests are refused.
_RETRY_INTERVAL_S = 0.25
_MAX_FRESH_RETRY_INTERVAL_S = 0.5
_MAX_STALE_RETRY_INTERVAL_S = 1.0
# Time between two checks whether the active version needs proofs, and while
# there is no active version yet.
_IDLE_INTERVAL_S = 0.25
_START_INTERVAL_S = 0.05
# Proofs up to this age, in seconds, are recent. It includes the time for which
# the history of the store proves nothing.
_RECENT_AGE_S = 3.0
# Wait for an answer before the next daemon is asked as well. The first question
# stays open: its answer counts from when it was asked.
_HEDGE_DELAY_S = 0.4
# Timeout of a question. It is longer than the time between two messages of a
# link, so that a slow daemon does not lose the link that the question uses.
_QUESTION_TIMEOUT_S = 2.0
# Questions that a daemon has open at once.
_MAX_QUESTIONS = 4
# Daemons that are asked in one poll, and in one that follows several without a
# recent proof.
_MAX_ASKED = 3
_MAX_ASKED_AGAIN = 2
_MANY_FAILURES = 3
_MAX_FAILURES = 10
# Part of the polls that ask the own zone first although a daemon of another one
# answered last: traffic between zones is expensive.
_RETURN_SHARE = 0.1
# How long a watcher waits for its read of the store before it answers with the
# proof that it has.
_MAX_ANSWER_DELAY_S = 0.25
# Part of the limit after which a daemon that gets no recent proof from others
# reads the store itself.
_STORE_READ_FRACTION = 0.45
# Time between two reads of the store by one such daemon, in seconds.
_STORE_READ_INTERVAL_S = 1.0
# Reads of all such daemons together, per second. Where some answer each other,
# one read is enough for many.
_MAX_FLEET_READS_PER_S = 500
_MS_PER_S = 1000

_polls_counter = prometheus_client.Counter(
    "merlintrestle_freshness_polls",
    "Polls for proofs of freshness, by result.",
    ("result",),
)


class Question(NamedTuple):
    """An open question to another daemon.

    Attributes:
        member_id: The daemon.
        task: Ends with whether it answered.
    """

    member_id: str
    task: asyncio.Task[bool]


class FreshnessPoller(mode.Service):
    """Keeps the proof of freshness recent while any request needs it.

    Watchers read the store. Each other daemon asks a watcher, of its own zone
    first, then those of other zones, then its neighbours, which may know more
    than a watcher that is cut off. It stays with the one that answered last. A
    daemon that gets no recent proof from anyone reads the store.
    """

    def __init__(
        self,
        freshness: freshness_lib.Freshness,
        membership: membership_lib.Membership,
        watcher: watcher_lib.Watcher,
    ):
        """Connects the poller; `start` starts the polls.

        Args:
            freshness: The proofs of this daemon.
            membership: Members, links and the client for calls.
            watcher: Reads the store.
        """
        super().__init__()
        self._freshness = freshness
        self._membership = membership
        self._watcher = watcher
        self._wake_event = asyncio.Event()
        self._questions: list[Question] = []
        self._preferred_id = ""
        self._next_store_read_at: float | None = None
        # Number of polls since the last one that brought a recent proof.
        self._failures = 0
        freshness.on_stale = self._wake_event.set

    async def answer(
        self, request: control_pb2.FreshnessRequest
    ) -> control_pb2.FreshnessReply:
        """Answers another daemon with the latest proof.

        A watcher reads the store first if its proof is older than the request
        allows. The answer is not delayed for long: it must arrive before the
        other daemon asks another one.
        """
        if self._freshness.limit_s and self._watcher.selection.is_watcher():
            await self._prove(request.max_age_ms / _MS_PER_S)
        reply = control_pb2.FreshnessReply()
        self._add_keys(reply, request.keys_version)
        proof = self._freshness.get_newest_proof()
        if proof is not None:
            reply.known = True
            reply.version = proof.version
            age_s = self._freshness.get_time() - proof.time
            # Rounded up, so that the proof never seems newer than it is.
            reply.age_ms = max(0, int(_MS_PER_S * age_s)) + 1
        return reply

    def _add_keys(
        self, reply: control_pb2.FreshnessReply, known_version: int
    ) -> None:
        """Adds the keys of an unusable version if the other lacks them."""
        keys = self._freshness.keys.get()
        if keys is not None and 0 < known_version < keys.version:
            reply.keys.CopyFrom(confirmed_keys.encode_keys(keys))

    def describe(self, reply: control_pb2.StatusReply) -> None:
        """Adds to a status whether requests with API keys are refused."""
        if not self._freshness.is_required():
            return
        reply.stale = self._freshness.is_stale()
        age_s = self._freshness.get_age()
        if age_s < math.inf:
            reply.freshness_age_ms = int(_MS_PER_S * age_s) + 1

    async def on_stop(self) -> None:
        """Cancels the open questions."""
        tasks = [question.task for question in self._questions]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @mode.Service.task
    @supervision.restart_on_failure
    async def _poll_always(self) -> None:
        while not self.should_stop:
            if self._freshness.is_required():
                await self.poll()
            await self._wait()

    async def _wait(self) -> None:
        """Waits until the next poll is due.

        A refused request shortens the wait, as after a freeze of the process,
        unless the last polls brought nothing.
        """
        interval_s = random.uniform(0.8, 1.0) * self._get_interval()
        shortest_s = min(interval_s, _RETRY_INTERVAL_S)
        await asyncio.sleep(interval_s if self._failures else shortest_s)
        if self._failures:
            return
        self._wake_event.clear()
        try:
            async with asyncio.timeout(interval_s - shortest_s):
                await self._wake_event.wait()
        except TimeoutError:
            return

    def _get_interval(self) -> float:
        """Returns the longest time to the next poll, in seconds."""
        if not self._freshness.is_required():
            if self._freshness.has_version():
                return _IDLE_INTERVAL_S
            return _START_INTERVAL_S
        if not self._failures:
            due_in_s = _DUE_AGE_S - self._freshness.get_age()
            return min(
                self._freshness.limit_s / 5,
                max(_MIN_POLL_INTERVAL_S, min(_MAX_POLL_INTERVAL_S, due_in_s)),
            )
        longest_s = (
            _MAX_STALE_RETRY_INTERVAL_S
            if self._freshness.is_stale()
            else _MAX_FRESH_RETRY_INTERVAL_S
        )
        return min(longest_s, _RETRY_INTERVAL_S * 2 ** (self._failures - 1))

    async def poll(self) -> None:
        """Gets a recent proof, if any daemon or the store has one."""
        result = await self._find_recent_proof()
        if result and self._is_version_missing() and self._is_store_read_due():
            await self._prove(0.0)
        _polls_counter.labels(result or "nothing").inc()
        if result:
            self._failures = 0
            if not self._is_version_missing():
                self._next_store_read_at = None
        else:
            self._failures = min(self._failures + 1, _MAX_FAILURES)

    async def _find_recent_proof(self) -> str:
        """Returns where a recent proof came from; empty if there is none."""
        if self._watcher.selection.is_watcher():
            await self._prove(MAX_ANSWER_AGE_S)
            if self._is_recent():
                return "store"
        previous = self._freshness.get_newest_proof()
        many = self._failures >= _MANY_FAILURES
        for member_id in itertools.islice(
            self._choose_members(), _MAX_ASKED_AGAIN if many else _MAX_ASKED
        ):
            await self._ask_or_wait(member_id)
            if self._freshness.get_newest_proof() != previous and (
                self._is_recent()
            ):
                return "daemon"
        if self._is_store_read_due():
            await self._prove(0.0)
            if self._is_recent():
                return "store as last resort"
        return ""

    def _is_version_missing(self) -> bool:
        """Returns whether the proof is of a version that has not arrived.

        It may be one that this daemon alone cannot use: then nobody else tells
        its keys.
        """
        proof = self._freshness.get_newest_proof()
        applied = self._freshness.keys.get_version()
        return proof is not None and proof.version > applied

    def _is_recent(self) -> bool:
        """Returns whether no other daemon need be asked.

        A proof of a version that is about to be activated counts.
        """
        proof = self._freshness.get_newest_proof()
        if proof is None:
            return False
        age_s = self._freshness.get_time() - proof.time
        return age_s <= self._get_recent_age()

    def _get_recent_age(self) -> float:
        """Returns the age of a proof up to which no other daemon is asked."""
        return min(
            _RECENT_AGE_S, self._freshness.limit_s * _STORE_READ_FRACTION
        )

    def _choose_members(self) -> Iterator[str]:
        """Yields the daemons to ask, in this order.

        The daemon that answered last is mostly the only one. The watchers of
        other zones are selected from all members, which takes some time in a
        large fleet, so only if they are needed.
        """
        self._questions = [
            question for question in self._questions if not question.task.done()
        ]
        excluded = {question.member_id for question in self._questions}
        excluded |= {"", self._membership.table.local_id}
        local_ids = _shuffle(self._watcher.selection.get_local_zone_watchers())
        if self._failures < _MANY_FAILURES and (
            self._preferred_id in local_ids or random.random() >= _RETURN_SHARE
        ):
            local_ids.insert(0, self._preferred_id)
        for member_id in local_ids:
            if member_id not in excluded:
                excluded.add(member_id)
                yield member_id
                break
        for member_id in self._list_further_members(local_ids):
            if member_id not in excluded:
                excluded.add(member_id)
                yield member_id

    def _list_further_members(self, local_ids: Sequence[str]) -> list[str]:
        """Returns the daemons to ask after the first one.

        The first watcher of another zone and the first neighbour precede the
        other watcher of the own zone, as a whole zone may be cut off.
        """
        groups = [
            _shuffle(self._watcher.selection.list_remote_zone_watchers()),
            _shuffle(
                [link.peer_id for link in self._membership.links.get_links()]
            ),
        ]
        if self._failures >= _MANY_FAILURES:
            groups = _shuffle(groups)
        first_ids = [ids[0] for ids in groups if ids]
        other_ids = [member_id for ids in groups for member_id in ids[1:]]
        return [*first_ids, *local_ids, *other_ids]

    async def _ask_or_wait(self, member_id: str) -> None:
        """Asks a daemon; returns after its answer or a short time."""
        if len(self._questions) < _MAX_QUESTIONS:
            task = asyncio.create_task(self._ask(member_id))
            self._questions.append(Question(member_id, task))
        else:
            task = self._questions[0].task
        await asyncio.wait((task,), timeout=_HEDGE_DELAY_S)

    async def _ask(self, member_id: str) -> bool:
        """Asks a daemon and records its proof."""
        request = control_pb2.FreshnessRequest(
            max_age_ms=int(_MS_PER_S * MAX_ANSWER_AGE_S),
            keys_version=self._freshness.keys.get_version(),
        )
        asked_at = self._freshness.get_time()
        try:
            reply = await self._membership.peers.call(
                member_id, "Freshness", request, _QUESTION_TIMEOUT_S
            )
        except errors.MerlintrestleError:
            if self._preferred_id == member_id:
                self._preferred_id = ""
            return False
        if reply.HasField("keys"):
            self._freshness.keys.learn_message(member_id, reply.keys)
        if reply.known:
            self._freshness.record_answer(
                reply.version, reply.age_ms / _MS_PER_S, asked_at
            )
            age_s = self._freshness.get_time() - asked_at
            if age_s + reply.age_ms / _MS_PER_S <= self._get_recent_age():
                self._preferred_id = member_id
        return True

    async def _prove(self, max_age_s: float) -> None:
        """Reads the store if the proof is older than a maximum.

        The read goes on if it takes long.
        """
        try:
            async with asyncio.timeout(_MAX_ANSWER_DELAY_S):
                await self._watcher.prove_freshness(max_age_s)
        except TimeoutError:
            return

    def _is_store_read_due(self) -> bool:
        """Returns whether to read the store as a last resort now.

        Each daemon of a large fleet begins at a random time, as thousands may
        lose the watchers at once, and their neighbours answer them after that.
        A daemon that hears of nobody depends on its own reads.
        """
        freshness = self._freshness
        if freshness.get_age() < freshness.limit_s * _STORE_READ_FRACTION:
            return False
        now = freshness.get_time()
        interval_s = _STORE_READ_INTERVAL_S
        if not self._membership.is_isolated():
            fleet_size = len(self._membership.table.list_usable_ids())
            interval_s = max(interval_s, fleet_size / _MAX_FLEET_READS_PER_S)
        if self._next_store_read_at is None:
            self._next_store_read_at = now + random.uniform(
                0.0, interval_s - _STORE_READ_INTERVAL_S
            )
        if now < self._next_store_read_at:
            return False
        self._next_store_read_at = now + timing_lib.jitter(interval_s)
        return True


def _shuffle(items: Sequence[_T]) -> list[_T]:
    """Returns items in random order, so that daemons ask different ones."""
    return random.sample(list(items), len(items))
