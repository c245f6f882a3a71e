"""Tests for the key-value data of the store stand-in, with a dict as model."""

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
    """Compares writes, leases and lists of the store with those of a dict.

    Attributes:
        clock: Clock of the store.
        actual: Store under test.
        model: Expected entries by key.
        lease_expiries: Expiry of each lease in seconds, by lease id.
        revision: Expected revision of the store.
    """

    def __init__(self):
        super().__init__()
        self.clock = builders.ManualClock()
        self.actual = keyvalue.KeyValueStore(self.clock)
        self.model: dict[str, keyvalue.Entry] = {}
        self.lease_expiries: dict[int, float] = {}
        self.revision = 0

    @stateful.rule(
        key=_KEYS, value=_VALUES, revision_matches=strategies.booleans()
    )
    def put(self, key, value, revision_matches):
        self._put(key, value, revision_matches, 0)

    @stateful.rule(key=_KEYS, value=_VALUES, lease_id=strategies.integers(1, 3))
    def put_with_lease(self, key, value, lease_id):
        if lease_id in self.lease_expiries:
            self._put(key, value, True, lease_id)
        else:
            revision = self._get_revision(key)
            with _CASE.assertRaises(keyvalue.LeaseNotFoundError):
                self.actual.put(key, value, revision, lease_id)

    @stateful.rule(key=_KEYS, revision_matches=strategies.booleans())
    def delete(self, key, revision_matches):
        revision = self._get_revision(key)
        deleted = self.actual.delete(
            key, revision if revision_matches else revision + 1
        )
        assert deleted == (revision_matches and key in self.model)
        if deleted:
            self._remove_from_model(key)

    @stateful.rule()
    def grant_lease(self):
        lease_id = self.actual.grant_lease(_LEASE_S)
        assert lease_id not in self.lease_expiries
        self.lease_expiries[lease_id] = self.clock.now + _LEASE_S

    @stateful.rule(lease_id=strategies.integers(1, 3))
    def renew_lease(self, lease_id):
        seconds = self.actual.renew_lease(lease_id)
        assert seconds == (_LEASE_S if lease_id in self.lease_expiries else 0)
        if lease_id in self.lease_expiries:
            self.lease_expiries[lease_id] = self.clock.now + _LEASE_S

    @stateful.rule(seconds=strategies.integers(1, 7))
    def advance_clock(self, seconds):
        self.clock.now += seconds
        expired_lease_ids = {
            lease_id
            for lease_id, expires_at in self.lease_expiries.items()
            if expires_at <= self.clock.now
        }
        for lease_id in expired_lease_ids:
            del self.lease_expiries[lease_id]
        for entry in list(self.model.values()):
            if entry.lease_id in expired_lease_ids:
                self._remove_from_model(entry.key)

    @stateful.invariant()
    def check_entries(self):
        entries = self.actual.list("", "", 0)
        assert entries == [self.model[key] for key in sorted(self.model)]
        first_page = self.actual.list("a", "a", 1)
        assert first_page == [e for e in entries if e.key.startswith("a/")][:1]
        assert self.actual.revision == self.revision

    def _put(self, key, value, revision_matches, lease_id):
        revision = self._get_revision(key)
        expected_revision = revision if revision_matches else revision + 1
        assert (
            self.actual.put(key, value, expected_revision, lease_id)
            == revision_matches
        )
        if revision_matches:
            self.revision += 1
            entry = keyvalue.Entry(key, value, self.revision, lease_id)
            self.model[key] = entry

    def _get_revision(self, key):
        return self.model.get(key, keyvalue.Entry(key)).revision

    def _remove_from_model(self, key):
        self.revision += 1
        del self.model[key]


KeyValueTest = KeyValueMachine.TestCase


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_watch_reports_that_a_lease_expired(self) -> None:
        """A watch of a leased key reports that the key was removed.

        The holder of the lease pauses beyond its expiry, so the key is removed
        without any call; its watchers must still learn of it.
        """
        clock = builders.ManualClock()
        data = keyvalue.KeyValueStore(clock)
        lease_id = data.grant_lease(_LEASE_S)
        data.put("key", b"x", 0, lease_id)
        stream = data.watch("key", 0)
        self.assertEqual((await anext(stream)).value, b"x")
        clock.now = float(_LEASE_S)
        data.expire_leases()
        self.assertEqual((await anext(stream)).revision, 0)
        self.assertEqual(data.renew_lease(lease_id), 0)


if __name__ == "__main__":
    unittest.main()
