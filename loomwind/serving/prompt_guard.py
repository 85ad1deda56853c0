"""Keeps requests away from servers whose prompts have a part that crashes these.

Daemons share what they see: which servers ended under which parts, and which of these parts were
answered whole after all. What is news goes on to the fingers at once; a daemon that has missed it,
or has just started, is sent all of it when its digest shows so.
"""

from collections.abc import Iterable

import xxhash

from loomwind.clock import Clock
from loomwind.logs import log_state
from loomwind.messages.serving import PromptCrash, PromptCrashes, PromptsAnswered
from loomwind.peering.transport import PeerTransport
from loomwind.serving.peers import PeerTable
from loomwind.serving.prompt_suspicion import Crash, PartOfPrompt, PromptSuspicions
from loomwind.serving.views import CallerRequest


class PromptGuard:
    """One daemon's knowledge of prompts that crash servers.

    :param own_address: ``host:port`` of this daemon for peers.
    """

    def __init__(self, own_address: str, transport: PeerTransport, peers: PeerTable) -> None:
        self._own_address = own_address
        self._transport = transport
        self._peers = peers
        self._suspicions = PromptSuspicions()
        self._clock = Clock()

    # Requests of this daemon.

    def banned_for_ms(self, caller: CallerRequest) -> float:
        """Return for how long a request is sent to no server; 0 if it may be sent."""
        return self._suspicions.banned_for_ms(_shared(caller), self._clock.now_ms())

    def may_repeat(self, caller: CallerRequest) -> bool:
        """Whether a request that was cut off may be sent to another server."""
        return self._suspicions.may_repeat(_shared(caller))

    def note_crash(self, caller: CallerRequest, instance: str) -> None:
        """A server ended as it began to answer a request."""
        crashes = (
            PromptCrash(identity, position, instance, 0.0)
            for position, identity in enumerate(_shared(caller))
        )
        self._take_crashes(crashes)

    def note_answered(self, caller: CallerRequest) -> None:
        """A request was answered whole."""
        self._take_answered(_shared(caller))

    # What peers tell.

    def on_crashes(self, message: PromptCrashes) -> None:
        """Take in a peer's word of crashes; the peer is told which parts are good after all."""
        now_ms = self._clock.now_ms()
        identities = {crash.identity for crash in message.crashes}
        good = tuple(each for each in sorted(identities) if self._suspicions.is_good(each, now_ms))
        if good:
            self._transport.cast(message.sender, PromptsAnswered(good))
        self._take_crashes(message.crashes)

    def on_answered(self, message: PromptsAnswered) -> None:
        """Take in a peer's word of parts that were answered whole."""
        self._take_answered(message.identities)

    def digest(self) -> int:
        """Return a number that is the same where the same crashes are known; 0 for none."""
        known = sorted(
            f"{each.part.identity} {instance}"
            for each in self._suspicions.suspected()
            for instance in each.crashes
        )
        return xxhash.xxh64_intdigest("\n".join(known).encode()) if known else 0

    def all_crashes(self) -> PromptCrashes:
        """Return all that is known of crashes, for a peer whose digest differs."""
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

    # What is news.

    def _take_crashes(self, crashes: Iterable[PromptCrash]) -> None:
        now_ms = self._clock.now_ms()
        news = tuple(crash for crash in crashes if self._is_news(crash, now_ms))
        if not news:
            return
        self._tell(PromptCrashes(self._own_address, news))
        for part in self._suspicions.ban_guilty(now_ms):
            log_state("prompt", "banned", part=part.identity, position=part.position)
        log_state(
            "prompt", "suspected", crashes=[f"{each.identity} {each.instance}" for each in news]
        )

    def _is_news(self, crash: PromptCrash, now_ms: float) -> bool:
        part = PartOfPrompt(crash.identity, crash.position)
        return self._suspicions.note_crash(
            part, Crash(crash.instance, now_ms - crash.age_ms), now_ms
        )

    def _take_answered(self, identities: tuple[str, ...]) -> None:
        cleared = self._suspicions.note_answered(identities, self._clock.now_ms())
        if cleared:
            self._tell(PromptsAnswered(cleared))
            log_state("prompt", "cleared", parts=cleared)

    def _tell(self, message: PromptCrashes | PromptsAnswered) -> None:
        for peer in self._peers.fingers():
            self._transport.cast(peer.address, message)


def _shared(caller: CallerRequest) -> tuple[str, ...]:
    """Return the parts of a request's prompt that other requests may share: all but the last."""
    return tuple(part.identity for part in caller.prompt[:-1])
