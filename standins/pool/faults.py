"""Faults that a stand-in server can be told to have."""

from msgspec import Struct

EVENT_INTERVAL_SECONDS = 0.01


class ServerFaults(Struct):
    """The active faults.

    :param mode: applies to requests: ``errors`` responds with 500, ``mute`` runs the request and
        never responds, ``shed`` rejects it without running it, ``reset`` runs it and closes the
        connection.
    :param late_failure: how streams fail that come from now on, those that run already go on:
        ``errors``, ``shed``, ``close`` or ``reset`` of the connection, ``mute``, ``trickle`` of
        bytes without an event, ``crash``; empty for none. ``late`` ones only begin late.
    :param late_seconds: time from a stream's arrival, or from what is sent first, to its failure.
    :param late_after: what is sent before the failure: ``head`` or ``event``; empty for nothing.
    :param refusal_body: body of a ``shed`` response: ``endless``, ``missing`` though announced, or
        ``cut`` by the end of the connection; empty for a response without a body.
    :param surplus: send a second response after each one, which a client could take for the
        response to its next request.
    :param repeat_share: the share of responses that are sent a second time, byte for byte, before
        the response to the next request on their connection.
    :param repeat_seed: of the choice of these responses, and of when each is sent.
    :param cut_after_events: truncate a stream inside the event after this many; 0 disables it.
    :param head_share: send only this share of a response's head and close; 1 disables it.
    :param has_no_events: a stream ends, by its connection, after its head.
    :param endless_line: the body of a plain response, or the event after the first one of a stream,
        is a line that never ends.
    :param endless_report: reports are a line that never ends.
    :param unframed: responses are close-delimited: neither Content-Length nor chunked encoding.
    :param resets_at_end: close-delimited responses end with a reset after their last byte.
    :param http_version: HTTP version in the head of close-delimited responses.
    :param late_order_seconds: orders get no response and are executed after this delay.
    :param event_seconds: time before each event of a stream, and each piece of an endless line.
    :param work_seconds: duration of a plain request.
    :param crash_part: prompt part on which the server crashes before the first event.
    :param crash_body: text of a body on which the server crashes, whatever else the request has.
    :param crash_after_events: events of a stream that ``crash_body`` lets through first.
    :param places: requests that run at once; more are rejected with 503. 0 for no limit.
    :param max_rejections: the server crashes when it rejects more than this number of requests in a
        second for want of a place, and says so in all responses. 0 for a server that does not.
    :param back_after_seconds: time until a crashed server restarts as a new instance.
    :param state: the state in the server's row.
    :param listed: whether the server has a row in the store.
    """

    mode: str = ""
    late_failure: str = ""
    late_seconds: float = 0.0
    late_after: str = ""
    refusal_body: str = ""
    surplus: bool = False
    repeat_share: float = 0.0
    repeat_seed: int = 0
    cut_after_events: int = 0
    head_share: float = 1.0
    has_no_events: bool = False
    endless_line: bool = False
    endless_report: bool = False
    unframed: bool = False
    resets_at_end: bool = False
    http_version: str = "1.1"
    late_order_seconds: float = 0.0
    event_seconds: float = EVENT_INTERVAL_SECONDS
    work_seconds: float = 0.0
    crash_part: str = ""
    crash_body: str = ""
    crash_after_events: int = 0
    places: int = 0
    max_rejections: int = 0
    back_after_seconds: float = 1.0
    state: str = "ready"
    listed: bool = True
