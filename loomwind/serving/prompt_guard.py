"""Stops requests that crash servers, by themselves or by a part of their prompts.

Daemons share their observations: what servers crashed under, and what of it was
later answered completely. New observations are gossiped to peers at once. A daemon that has
missed some, or has just started, gets all of them from anti-entropy when its digest differs.
"""

import asyncio
from collections.abc import Callable, Iterable

import xxhash
from attrs import frozen

from loomwind.clock import MS_PER_SECOND, Clock
from loomwind.logs import log_state
from loomwind.messages.serving import PromptCrash, PromptCrashes, PromptsAnswered
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.prompt_suspicion import (
    WHOLE_REQUEST_POSITION,
    Ban,
    Crash,
    PromptSuspicions,
    Suspect,
)
from loomwind.serving.views import CallerRequest

# A crash interrupts many requests at once, which are told of in one message. Repeated crashes are
# told of at once.
GOSSIP_DELAY_MS = 20.0


@frozen
class _Observation:
    """A crash under a suspect, in times of this daemon's clock."""

    suspect: Suspect
    crash: Crash

    @classmethod
    def read(cls, message: PromptCrash, now_ms: float) -> "_Observation":
        """Return what a message tells."""
        at_ms = now_ms - message.age_ms
        up_at_ms = at_ms - message.up_ms if message.up_ms > 0 else None
        suspect = Suspect(message.identity, message.position)
        return cls(suspect, Crash(message.instance, at_ms, up_at_ms))

    def describe(self, now_ms: float) -> PromptCrash:
        """Return the message that tells of it."""
        crash = self.crash
        up_ms = 0.0 if crash.up_at_ms is None else crash.at_ms - crash.up_at_ms
        return PromptCrash(
            self.suspect.identity,
            self.suspect.position,
            crash.instance,
            now_ms - crash.at_ms,
            up_ms,
        )


class PromptGuard:
    """Collects and shares observations of requests that crash servers.

    :ivar bans_changed: set when this daemon has banned or cleared something by itself.
    :ivar on_ban: called when a ban comes into force.
    """

    def __init__(
        self,
        own_address: str,
        transport: PeerTransport,
        peers: PeerTable,
        is_heard_since: Callable[[str, float], bool] | None = None,
    ) -> None:
        """Create a guard.

        :param own_address: ``host:port`` at which peers reach this daemon.
        :param is_heard_since: whether a server instance has sent data after a time.
        """
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._suspicions = PromptSuspicions(is_heard_since)
        self._unsent_crashes: list[_Observation] = []
        self._unsent_answered: set[str] = set()
        self._gossip_timer: asyncio.TimerHandle | None = None
        self._changed_bans: set[str] = set()
        self.bans_changed = asyncio.Event()
        self.on_ban: Callable[[], None] = lambda: None
        self._clock = Clock()

    # Requests at this daemon.

    def banned_for_ms(self, caller: CallerRequest) -> float:
        """Return how long a request remains banned, in milliseconds; 0 when it is not."""
        return self._suspicions.banned_for_ms(_identities(caller), self._clock.now_ms())

    def may_retry(self, caller: CallerRequest) -> bool:
        """Whether a request that was interrupted may be retried at another server."""
        return self._suspicions.may_retry(_shared_parts(caller))

    def is_suspected(self, caller: CallerRequest) -> bool:
        """Whether a server crashed while it responded to the request."""
        return self._suspicions.find(_request_identity(caller)) is not None

    def record_crash(
        self, caller: CallerRequest, instance: str, up_ms: float, is_early: bool
    ) -> None:
        """Record that a server crashed while it responded to a request.

        :param up_ms: the time since it accepted a connection; 0 if that is not known.
        :param is_early: whether it had hardly begun; otherwise no part of the prompt is suspected.
        """
        parts = _shared_parts(caller) if is_early else ()
        crashes = [
            PromptCrash(identity, position, instance, 0.0, up_ms)
            for position, identity in enumerate(parts)
        ]
        request = _request_identity(caller)
        crashes.append(PromptCrash(request, WHOLE_REQUEST_POSITION, instance, 0.0, up_ms))
        self._record_changed_bans(self._add_crashes(crashes))

    def record_answered(self, caller: CallerRequest, is_by_one_server: bool) -> None:
        """Record that a request was answered completely.

        :param is_by_one_server: whether no other server has begun its answer.
        """
        answered = _identities(caller) if is_by_one_server else _shared_parts(caller)
        self._record_changed_bans(self._add_answered(answered))

    # Bans in the store.

    def _record_changed_bans(self, identities: Iterable[str]) -> None:
        self._changed_bans.update(identities)
        if self._changed_bans:
            self.bans_changed.set()

    def take_changed_bans(self) -> list[str]:
        """Return and forget the identities whose ban this daemon has changed."""
        changed = list(self._changed_bans)
        self._changed_bans.clear()
        return changed

    def ban_of(self, identity: str) -> Ban | None:
        """Return the ban that is in force for a request or a part."""
        return self._suspicions.ban_of(identity, self._clock.now_ms())

    def adopt_ban(self, ban: Ban) -> None:
        """Put a ban from the store in force."""
        if self._suspicions.adopt_ban(ban, self._clock.now_ms()):
            log_state("prompt", "ban-adopted", part=ban.suspect.identity, left_ms=ban.left_ms)
            self.on_ban()

    def lift_ban(self, identity: str) -> None:
        """Drop a ban that was removed from the store."""
        if self._suspicions.forget(identity):
            log_state("prompt", "ban-lifted", part=identity)

    # Messages from peers.

    def on_crashes(self, message: PromptCrashes) -> None:
        """Add crashes that a peer reports; reply with those suspects that an answer has cleared."""
        now_ms = self._clock.now_ms()
        observations = [_Observation.read(crash, now_ms) for crash in message.crashes]
        cleared = {
            each.suspect.identity
            for each in observations
            if self._suspicions.is_cleared(each.suspect, each.crash, now_ms)
        }
        if cleared:
            self._transport.send(message.sender, PromptsAnswered(tuple(sorted(cleared))))
        self._add_crashes(message.crashes)

    def on_answered(self, message: PromptsAnswered) -> None:
        """Clear parts that a peer reports as answered completely."""
        self._add_answered(message.identities)

    def digest(self) -> int:
        """Return a hash of the known crashes, to compare with peers; 0 when there are none."""
        known = sorted(
            f"{each.suspect.identity} {instance}"
            for each in self._suspicions.replicated()
            for instance in each.crashes
        )
        return xxhash.xxh64_intdigest("\n".join(known).encode()) if known else 0

    def all_crashes(self) -> PromptCrashes:
        """Return all known crashes, for a peer whose digest differs."""
        now_ms = self._clock.now_ms()
        return PromptCrashes(
            self._own_address,
            tuple(
                _Observation(each.suspect, crash).describe(now_ms)
                for each in self._suspicions.replicated()
                for crash in each.crashes.values()
            ),
        )

    # New observations.

    def _add_crashes(self, crashes: Iterable[PromptCrash]) -> list[str]:
        """Record crashes; returns what is banned because of them."""
        now_ms = self._clock.now_ms()
        observations = [_Observation.read(crash, now_ms) for crash in crashes]
        new = [
            each
            for each in observations
            if self._suspicions.record_crash(each.suspect, each.crash, now_ms)
        ]
        if not new:
            return []
        self._unsent_crashes += new
        if any(self._suspicions.is_repeated(each.suspect.identity) for each in new):
            self._send_unsent()
        else:
            self._schedule_gossip()
        banned = self._suspicions.ban_suspects(now_ms)
        for part in banned:
            log_state("prompt", "banned", part=part.identity, position=part.position)
        log_state(
            "prompt",
            "suspected",
            crashes=[f"{each.suspect.identity} {each.crash.instance}" for each in new],
        )
        if banned:
            self.on_ban()
        return [suspect.identity for suspect in banned]

    def _add_answered(self, identities: tuple[str, ...]) -> tuple[str, ...]:
        """Record what was answered; returns what was suspected."""
        cleared = self._suspicions.record_answered(identities, self._clock.now_ms())
        if cleared:
            self._unsent_answered.update(cleared)
            self._schedule_gossip()
            log_state("prompt", "cleared", parts=cleared)
        return cleared

    def _schedule_gossip(self) -> None:
        if self._gossip_timer is None:
            delay_seconds = GOSSIP_DELAY_MS / MS_PER_SECOND
            loop = asyncio.get_running_loop()
            self._gossip_timer = loop.call_later(delay_seconds, self._send_unsent)

    def _send_unsent(self) -> None:
        """Send what was observed lately; crashes first, which an answer may clear."""
        if self._gossip_timer is not None:
            self._gossip_timer.cancel()
        self._gossip_timer = None
        now_ms = self._clock.now_ms()
        crashes = tuple(each.describe(now_ms) for each in self._unsent_crashes)
        answered = tuple(self._unsent_answered)
        self._unsent_crashes.clear()
        self._unsent_answered.clear()
        if crashes:
            self._gossip(PromptCrashes(self._own_address, crashes))
        if answered:
            self._gossip(PromptsAnswered(answered))

    def _gossip(self, message: PromptCrashes | PromptsAnswered) -> None:
        for peer in self._peers.gossip_targets():
            self._transport.send(peer.address, message)


def _identities(caller: CallerRequest) -> tuple[str, ...]:
    """Return the identities of a request: its shared parts, and itself."""
    return (*_shared_parts(caller), _request_identity(caller))


def _request_identity(caller: CallerRequest) -> str:
    """Return the identity of a request, which differs from those of all parts of prompts."""
    return f"request:{caller.fingerprint}"


def _shared_parts(caller: CallerRequest) -> tuple[str, ...]:
    """Return the identities of all parts but the last, which other requests may share."""
    return tuple(part.identity for part in caller.prompt[:-1])
