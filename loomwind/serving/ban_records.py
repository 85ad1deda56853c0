"""Keeps bans of requests and parts of prompts in the store, so that they outlive all daemons.

The daemon that saw the last crash writes the row, and the one that saw a complete answer removes
it: at most one write for a crash.
"""

import asyncio
import time

import msgspec
from msgspec import Struct

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.decoding import DecodeError, decode_json
from loomwind.logs import log_state
from loomwind.serving.peers import PeerTable
from loomwind.serving.ports import (
    Snapshot,
    Store,
    StoredRow,
    StoreUnavailable,
    Write,
    WriteConflict,
)
from loomwind.serving.prompt_guard import PromptGuard
from loomwind.serving.prompt_suspicion import MAX_BAN_MS, Ban, Suspect

BAN_KEY_PREFIX = "banned/"
RETRY_MS = 500.0
CLEANUP_INTERVAL_SECONDS = 30.0


class BanRow(Struct, frozen=True):
    """A ban as stored.

    :param position: that of the part in the prompt.
    :param until_unix_ms: when it ends.
    :param ban_ms: how long it was.
    """

    position: int
    until_unix_ms: float
    ban_ms: float


class BanRecords:
    """Writes bans to the store, and adopts those that it holds."""

    def __init__(self, store: Store, table: str, guard: PromptGuard, peers: PeerTable) -> None:
        self._store = store
        self._table = table
        self._guard = guard
        self._peers = peers
        self._clock = Clock()
        self._stored: set[str] = set()

    def on_rows(self, snapshot: Snapshot, is_full: bool) -> None:
        """Adopt the bans among the changed rows, or all of them."""
        for row in snapshot.rows:
            if row.key.startswith(BAN_KEY_PREFIX):
                self._apply(row.key.removeprefix(BAN_KEY_PREFIX), row)

    def _apply(self, identity: str, row: StoredRow) -> None:
        if row.deleted:
            self._stored.discard(identity)
            self._guard.lift_ban(identity)
            return
        try:
            ban = decode_json(row.value, BanRow)
        except DecodeError as error:
            log_state("prompt", "unreadable", part=identity, error=str(error))
            return
        self._stored.add(identity)
        left_ms = min(ban.until_unix_ms - _unix_ms(), MAX_BAN_MS)
        if left_ms > 0:
            self._guard.adopt_ban(Ban(Suspect(identity, ban.position), left_ms, ban.ban_ms))

    async def run(self) -> None:
        """Write changes of bans, and remove those that have ended, until cancelled."""
        while True:
            await self._wait_until_due()
            self._guard.bans_changed.clear()
            ended = [each for each in self._stored if self._guard.ban_of(each) is None]
            changed = self._guard.take_changed_bans()
            for identity in [*changed, *(ended if self._peers.leads else ())]:
                await self._write(identity)

    async def _wait_until_due(self) -> None:
        try:
            async with asyncio.timeout(CLEANUP_INTERVAL_SECONDS):
                await self._guard.bans_changed.wait()
        except TimeoutError:
            return

    async def _write(self, identity: str) -> None:
        """Bring the row of a ban up to date, however long the store is unavailable."""
        while True:
            ban = self._guard.ban_of(identity)
            if ban is None and identity not in self._stored:
                return
            value = None if ban is None else _encode(ban)
            try:
                await self._store.write(self._table, Write(BAN_KEY_PREFIX + identity, value))
                return
            except (StoreUnavailable, WriteConflict) as error:
                log_state("prompt", "not-written", part=identity, error=str(error))
            await self._clock.sleep_ms(self._peers.scale_interval(RETRY_MS))


def _encode(ban: Ban) -> bytes:
    return msgspec.json.encode(
        BanRow(ban.suspect.position, _unix_ms() + ban.left_ms, ban.duration_ms)
    )


def _unix_ms() -> float:
    return time.time() * MS_PER_SECOND
