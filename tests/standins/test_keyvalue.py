"""Tests of the store stand-in's data against a plain dict."""

from __future__ import annotations

import unittest

from hypothesis import stateful
from hypothesis import strategies

from standins import keyvalue
from tests.standins import builders

_KEYS = strategies.sampled_from(["a", "a/1", "a/2", "b"])
_VALUES = strategies.binary(max_size=3)
_LEASE_S = 10
_CASE = unittest.TestCase()


class KeyValueMachine(stateful.RuleBasedStateMachine):
    """Compare-and-swap, leases and lists as a dict would have them."""

    def __init__(self):
        super().__init__()
        self.clock = builders.ManualClock()
        self.real = keyvalue.KeyValueStore(self.clock)
        self.model: dict[str, keyvalue.Entry] = {}
        self.ends: dict[int, float] = {}
        self.revision = 0

    @stateful.rule(key=_KEYS, value=_VALUES, right=strategies.booleans())
    def put(self, key, value, right):
        self._put(key, value, right, 0)

    @stateful.rule(key=_KEYS, value=_VALUES, lease=strategies.integers(1, 3))
    def put_with_lease(self, key, value, lease):
        if lease in self.ends:
            self._put(key, value, True, lease)
        else:
            revision = self._revision_of(key)
            with _CASE.assertRaises(keyvalue.LeaseNotFoundError):
                self.real.put(key, value, revision, lease)

    @stateful.rule(key=_KEYS, right=strategies.booleans())
    def delete(self, key, right):
        revision = self._revision_of(key)
        deleted = self.real.delete(key, revision if right else revision + 1)
        assert deleted == (right and key in self.model)
        if deleted:
            self._forget(key)

    @stateful.rule()
    def grant_lease(self):
        lease_id = self.real.grant_lease(_LEASE_S)
        assert lease_id not in self.ends
        self.ends[lease_id] = self.clock.now + _LEASE_S

    @stateful.rule(lease=strategies.integers(1, 3))
    def keep_lease(self, lease):
        seconds = self.real.keep_lease(lease)
        assert seconds == (_LEASE_S if lease in self.ends else 0)
        if lease in self.ends:
            self.ends[lease] = self.clock.now + _LEASE_S

    @stateful.rule(seconds=strategies.integers(1, 7))
    def let_time_pass(self, seconds):
        self.clock.now += seconds
        over = {i for i, end in self.ends.items() if end <= self.clock.now}
        for lease in over:
            del self.ends[lease]
        for entry in list(self.model.values()):
            if entry.lease_id in over:
                self._forget(entry.key)

    @stateful.invariant()
    def same_entries(self):
        listed = self.real.list("", "", 0)
        assert listed == [self.model[key] for key in sorted(self.model)]
        page = self.real.list("a", "a", 1)
        assert page == [e for e in listed if e.key.startswith("a/")][:1]
        assert self.real.revision == self.revision

    def _put(self, key, value, right, lease):
        revision = self._revision_of(key)
        expected = revision if right else revision + 1
        assert self.real.put(key, value, expected, lease) == right
        if right:
            self.revision += 1
            entry = keyvalue.Entry(key, value, self.revision, lease)
            self.model[key] = entry

    def _revision_of(self, key):
        return self.model.get(key, keyvalue.Entry(key)).revision

    def _forget(self, key):
        self.revision += 1
        del self.model[key]


KeyValueTest = KeyValueMachine.TestCase


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_tells_that_a_lease_ended(self) -> None:
        """A watcher of a leased key learns that it went away.

        The holder of the lease pauses past its end; the key goes without a
        call of anyone, and whoever watches is told.
        """
        clock = builders.ManualClock()
        data = keyvalue.KeyValueStore(clock)
        lease = data.grant_lease(_LEASE_S)
        data.put("key", b"x", 0, lease)
        stream = data.watch("key", 0)
        self.assertEqual((await anext(stream)).value, b"x")
        clock.now = float(_LEASE_S)
        data.expire_leases()
        self.assertEqual((await anext(stream)).revision, 0)
        self.assertEqual(data.keep_lease(lease), 0)


if __name__ == "__main__":
    unittest.main()
