"""What a soak must keep to; each check returns one line for each request that breaks it."""

from collections import Counter
from itertools import combinations, pairwise

from features.support.soak_record import Attempt, DaemonLife, Run, SoakRecord, covered_s
from features.support.streams import STREAM_EVENTS

# A daemon that was suspended catches up with what came meanwhile.
CATCH_UP_SECONDS = 1.0
TIME_OVER_MARGIN_SECONDS = 0.1
IDLE_SHARE = 0.8
# The part of the grace period after which a server may be cut off at its work, and how late
# after the signal its request may have been sent.
LAST_GRACE_SHARE = 5 / 6
GRACE_ARRIVAL_SECONDS = 3.0
# How long two servers may work on one request while it is moved from one to the other.
MOVE_SECONDS = 0.4
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A run may begin just before the call that ends its server's failures returns, or begins them.
FAULT_CALL_SECONDS = 0.001
MAX_LINES_SHOWN = 8


def excuse(record: SoakRecord, attempt: Attempt) -> str:
    """Return why an attempt may be without a complete answer; empty if nothing excuses it."""
    life = record.life_at(attempt.daemon, attempt.sent_at_s)
    ended_at_s = attempt.ended_at_s
    if not attempt.reply.is_sent:
        return "no connection"
    if life.killed_at_s is not None and life.killed_at_s <= ended_at_s:
        return "daemon killed"
    since_s = attempt.sent_at_s - CATCH_UP_SECONDS
    if any(each.overlaps(since_s, ended_at_s) for each in life.suspended):
        return "daemon suspended"
    if any(run.ended_at_s is None for run in record.runs.get(attempt.request_id, [])):
        return "server killed"
    if _ran_at_failing_only(record, attempt):
        return "server failed"
    timeout_s = min(attempt.timeout_s, *record.route_timeouts_s)
    took_s = ended_at_s - attempt.sent_at_s
    if attempt.reply.status and took_s >= timeout_s - TIME_OVER_MARGIN_SECONDS:
        return "time over"
    if _is_grace_over(record, attempt, life):
        return "grace over"
    return "" if _was_read(record, attempt) else _unread_excuse(record, attempt, life)


def _ran_at_failing_only(record: SoakRecord, attempt: Attempt) -> bool:
    """Whether a request ran, and only at servers that failed new streams as it came.

    One that also ran at a sound server, even while that paused, could have been completed there.
    """
    runs = record.runs.get(attempt.request_id, [])
    return bool(runs) and attempt.route.is_stream and all(_is_at_failing(record, r) for r in runs)


def _is_at_failing(record: SoakRecord, run: Run) -> bool:
    intervals = record.failing_servers.get(run.server, [])
    return any(
        each.overlaps(run.begun_at_s, run.begun_at_s + FAULT_CALL_SECONDS) for each in intervals
    )


def _is_grace_over(record: SoakRecord, attempt: Attempt, life: DaemonLife) -> bool:
    """Whether a server was still at work when a stopping daemon had to end."""
    if life.stopping_from_s is None:
        return False
    if attempt.sent_at_s > life.stopping_from_s + GRACE_ARRIVAL_SECONDS:
        return False
    last_part_at_s = life.stopping_from_s + LAST_GRACE_SHARE * record.grace_s
    runs = record.runs.get(attempt.request_id, [])
    return any(run.ended_at_s is None or run.ended_at_s >= last_part_at_s for run in runs)


def _was_read(record: SoakRecord, attempt: Attempt) -> bool:
    """Whether the daemon has shown that it read the request: to its caller, a server or its log."""
    lines = record.lines.get(attempt.request_id, [])
    has_line = any(line.startswith(f"{attempt.daemon}.") for line in lines)
    return bool(attempt.reply.status or record.runs.get(attempt.request_id)) or has_line


def _unread_excuse(record: SoakRecord, attempt: Attempt, life: DaemonLife) -> str:
    """Return why the daemon may have closed the connection before it read the request."""
    if attempt.is_behind_end:
        return "behind the end of its connection"
    if life.terminated_at_s is not None and life.terminated_at_s <= attempt.ended_at_s:
        return "not read by a stopping daemon"
    if attempt.rested_s >= IDLE_SHARE * min(record.idle_limits_s):
        return "not read on an idle connection"
    return ""


def unanswered(record: SoakRecord) -> list[str]:
    """Return the requests that a running daemon read and did not answer completely."""
    lost = [a for a in record.attempts if not a.is_answered and not excuse(record, a)]
    return [describe(record, attempt) for attempt in lost]


def excused(record: SoakRecord) -> Counter[str]:
    """Return how many attempts without a complete answer each excuse covers."""
    missing = (a for a in record.attempts if not a.is_answered)
    return Counter(excuse(record, attempt) or "none" for attempt in missing)


def denied(record: SoakRecord) -> list[str]:
    """Return the requests that got 404 on a route that every configuration has."""
    wrong = (a for a in record.attempts if a.route.is_permanent and a.reply.status == 404)
    return [describe(record, attempt) for attempt in wrong]


def joined_streams(record: SoakRecord) -> list[str]:
    """Return the streams that have events of two software versions."""
    wrong = (each.stream for each in record.streams if len(each.stream.versions()) > 1)
    return [_stream_line(record, [r.request_id for r in s.replies], s.versions()) for s in wrong]


def disordered_streams(record: SoakRecord) -> list[str]:
    """Return the streams that lack or repeat an event."""
    found = []
    for each in record.streams:
        numbers = [number for number, _ in each.stream.events()]
        steps = [(a, b) for a, b in pairwise([0, *numbers]) if b != a + 1]
        if steps:
            ids = [reply.request_id for reply in each.stream.replies]
            found.append(_stream_line(record, ids, steps[:3]))
    return found


def early_ends(record: SoakRecord) -> list[str]:
    """Return the streams that were closed as complete before their last event."""
    wrong = (
        each.stream
        for each in record.streams
        if each.stream.is_served and each.stream.last_event_id < STREAM_EVENTS
    )
    return [
        _stream_line(record, [s.replies[-1].request_id], f"{s.last_event_id} events") for s in wrong
    ]


def repeated_runs(record: SoakRecord) -> list[str]:
    """Return the requests that ran twice, or that ran although refused, and may not."""
    found = []
    for attempt in record.attempts:
        runs = len(record.runs.get(attempt.request_id, []))
        refused = attempt.reply.status in NOT_RUN_STATUSES
        if not attempt.route.is_repeatable and (runs > 1 or (refused and runs)):
            found.append(describe(record, attempt))
    return found


def concurrent_runs(record: SoakRecord) -> list[str]:
    """Return the requests on which two servers worked at the same time for long.

    The time in which one of them stands still, and cannot notice that it is left, does not count.
    """
    found = []
    for attempt in record.attempts:
        runs = record.runs.get(attempt.request_id, [])
        disturbed = bool(record.life_at(attempt.daemon, attempt.sent_at_s).suspended)
        together = (_together_s(record, one, other) for one, other in combinations(runs, 2))
        if not disturbed and any(seconds > MOVE_SECONDS for seconds in together):
            found.append(describe(record, attempt))
    return found


def _together_s(record: SoakRecord, one: Run, other: Run) -> float:
    """Return how long both runs were under way while neither server stood still."""
    if one.ended_at_s is None or other.ended_at_s is None:
        return 0.0
    start_s = max(one.begun_at_s, other.begun_at_s)
    end_s = min(one.ended_at_s, other.ended_at_s)
    servers = (one.server, other.server)
    pauses = [each for name in servers for each in record.stalled_servers.get(name, [])]
    return end_s - start_s - covered_s(pauses, start_s, end_s)


def _stream_line(record: SoakRecord, request_ids: list[str], what: object) -> str:
    attempts = {attempt.request_id: attempt for attempt in record.attempts}
    lines = [describe(record, attempts[each]) for each in request_ids if each in attempts]
    return f"stream {what}:\n" + "\n".join(lines)


def describe(record: SoakRecord, attempt: Attempt) -> str:
    """Return an attempt with its runs and the log lines of the daemons about it."""
    reply = attempt.reply
    runs = [
        f"{run.server} {run.begun_at_s:.3f} to {run.ended_at_s}"
        for run in record.runs.get(attempt.request_id, [])
    ]
    lines = record.lines.get(attempt.request_id, [])[-MAX_LINES_SHOWN:]
    head = (
        f"  {attempt.request_id} {attempt.route.name} at {attempt.daemon}: status {reply.status}, "
        f"{'complete' if reply.is_complete else 'incomplete'}, {len(reply.body)} bytes, "
        f"sent {attempt.sent_at_s:.3f}, ended {attempt.ended_at_s:.3f}, rested "
        f"{attempt.rested_s:.2f} s; runs: {runs}"
    )
    return "\n    ".join((head, *lines))
