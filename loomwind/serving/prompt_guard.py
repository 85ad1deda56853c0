"""Stops requests whose prompts have a part that crashes servers.

Daemons share their observations: the parts under which servers crashed, and those of them that were
later answered completely. New observations are gossiped to peers at once. A daemon that has
missed some, or has just started, gets all of them from anti-entropy when its digest differs.
"""

from collections.abc import Iterable

import xxhash

from loomwind.clock import Clock
from loomwind.logs import log_state
from loomwind.messages.serving import PromptCrash, PromptCrashes, PromptsAnswered
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.prompt_suspicion import Crash, PromptSuspicions, SharedPart
from loomwind.serving.views import CallerRequest


class PromptGuard:
    """Collects and shares observations of prompts that crash servers.

    :param own_address: ``host:port`` at which peers reach this daemon.
    """

    def __init__(self, own_address: str, transport: PeerTransport, peers: PeerTable) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._suspicions = PromptSuspicions()
        self._clock = Clock()

    # Requests at this daemon.

    def banned_for_ms(self, caller: CallerRequest) -> float:
        """Return how long a request remains banned, in milliseconds; 0 when it is not."""
        return self._suspicions.banned_for_ms(_shared_parts(caller), self._clock.now_ms())

    def may_retry(self, caller: CallerRequest) -> bool:
        """Whether a request that was interrupted may be retried at another server."""
        return self._suspicions.may_retry(_shared_parts(caller))

    def record_crash(self, caller: CallerRequest, instance: str) -> None:
        """Record that a server crashed when it began to respond to a request."""
        crashes = (
            PromptCrash(identity, position, instance, 0.0)
            for position, identity in enumerate(_shared_parts(caller))
        )
        self._add_crashes(crashes)

    def record_answered(self, caller: CallerRequest) -> None:
        """Record that a request was answered completely."""
        self._add_answered(_shared_parts(caller))

    # Messages from peers.

    def on_crashes(self, message: PromptCrashes) -> None:
        """Add crashes that a peer reports; reply with those parts that were answered recently."""
        now_ms = self._clock.now_ms()
        identities = {crash.identity for crash in message.crashes}
        answered = tuple(
            each
            for each in sorted(identities)
            if self._suspicions.was_answered_recently(each, now_ms)
        )
        if answered:
            self._transport.send(message.sender, PromptsAnswered(answered))
        self._add_crashes(message.crashes)

    def on_answered(self, message: PromptsAnswered) -> None:
        """Clear parts that a peer reports as answered completely."""
        self._add_answered(message.identities)

    def digest(self) -> int:
        """Return a hash of the known crashes, to compare with peers; 0 when there are none."""
        known = sorted(
            f"{each.part.identity} {instance}"
            for each in self._suspicions.suspected()
            for instance in each.crashes
        )
        return xxhash.xxh64_intdigest("\n".join(known).encode()) if known else 0

    def all_crashes(self) -> PromptCrashes:
        """Return all known crashes, for a peer whose digest differs."""
        now_ms = self._clock.now_ms()
        return PromptCrashes(
            self._own_address,
            tuple(
                PromptCrash(
                    each.part.identity, each.part.position, crash.instance, now_ms - crash.at_ms
                )
                for each in self._suspicions.suspected()
                for crash in each.crashes.values()
            ),
        )

    # New observations.

    def _add_crashes(self, crashes: Iterable[PromptCrash]) -> None:
        now_ms = self._clock.now_ms()
        new_crashes = tuple(crash for crash in crashes if self._add_crash(crash, now_ms))
        if not new_crashes:
            return
        self._gossip(PromptCrashes(self._own_address, new_crashes))
        for part in self._suspicions.ban_suspects(now_ms):
            log_state("prompt", "banned", part=part.identity, position=part.position)
        log_state(
            "prompt",
            "suspected",
            crashes=[f"{each.identity} {each.instance}" for each in new_crashes],
        )

    def _add_crash(self, crash: PromptCrash, now_ms: float) -> bool:
        part = SharedPart(crash.identity, crash.position)
        return self._suspicions.record_crash(
            part, Crash(crash.instance, now_ms - crash.age_ms), now_ms
        )

    def _add_answered(self, identities: tuple[str, ...]) -> None:
        cleared = self._suspicions.record_answered(identities, self._clock.now_ms())
        if cleared:
            self._gossip(PromptsAnswered(cleared))
            log_state("prompt", "cleared", parts=cleared)

    def _gossip(self, message: PromptCrashes | PromptsAnswered) -> None:
        for peer in self._peers.gossip_targets():
            self._transport.send(peer.address, message)


def _shared_parts(caller: CallerRequest) -> tuple[str, ...]:
    """Return the identities of all parts but the last, which other requests may share."""
    return tuple(part.identity for part in caller.prompt[:-1])
