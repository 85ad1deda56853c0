"""Chooses the voters of a cell. Pure functions."""

from collections.abc import Collection

from loomwind.messages import MemberInfo, VoterId


def choose_voters(
    current: tuple[VoterId, ...], alive: list[MemberInfo], count: int
) -> tuple[VoterId, ...]:
    """Return the voter set that the cell should have.

    Current voters that are alive are kept; others are added from the zones with the fewest voters.
    The size is odd, since an even number of voters tolerates no more failures than one fewer.

    :param current: the current voter set; empty to choose the first one.
    :param alive: daemons of the cell that are alive and not leaving.
    :param count: the wanted number of voters.
    """
    by_identity = {info.identity: info for info in alive}
    chosen = [voter for voter in current if voter in by_identity][:count]
    size = min(count, len(alive))
    size = max(size - (size % 2 == 0), 1)
    remaining = sorted(info for info in alive if info.identity not in chosen)
    while len(chosen) < size and remaining:
        zones = [by_identity[voter].zone for voter in chosen]
        candidate = min(remaining, key=lambda info: (zones.count(info.zone), info.identity))
        remaining.remove(candidate)
        chosen.append(candidate.identity)
    return tuple(sorted(chosen[: max(size, 1)]))


def has_live_majority(current: tuple[VoterId, ...], alive: list[MemberInfo]) -> bool:
    """Return whether a majority of the current voters is alive, so that a change can commit."""
    identities = {info.identity for info in alive}
    return 2 * len(identities & set(current)) > len(current)


def has_lost_majority(
    voters: tuple[VoterId, ...], joint: tuple[VoterId, ...], ended: Collection[VoterId]
) -> bool:
    """Return whether too many voters have ended for any value to be committed again.

    :param joint: the previous voter set until a change is committed; it needs a majority as well.
    """
    return any(
        2 * sum(v not in ended for v in voter_set) <= len(voter_set)
        for voter_set in (voters, joint)
        if voter_set
    )
