"""In-memory store with outages and lost responses."""

from __future__ import annotations

from pomeloyard.errors import StoreOutcomeUnknownError, StoreUnavailableError
from pomeloyard.keyvalue.memory import MemoryStore


class FaultyStore(MemoryStore):
    def __init__(self, clock):
        super().__init__(clock)
        self.down = False
        self.lost_answers = 0
        self.down_after_lost = False
        self.before_commit = None

    async def get(self, key):
        self._check_up()
        return await super().get(key)

    async def scan(self, prefix, *, start="", limit=1000):
        self._check_up()
        return await super().scan(prefix, start=start, limit=limit)

    async def commit(self, transaction):
        self._check_up()
        if self.before_commit is not None:
            concurrent_change, self.before_commit = self.before_commit, None
            await concurrent_change()
        result = await super().commit(transaction)
        if self.lost_answers:
            self.lost_answers -= 1
            self.down = self.down_after_lost
            raise StoreOutcomeUnknownError("answer lost")
        return result

    def _check_up(self):
        if self.down:
            raise StoreUnavailableError("down")
