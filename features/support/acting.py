"""What several step files do: start a site, begin requests, find the controller and the voters."""

from typing import Any

from features.support.caller import Reply, chat
from features.support.operator import Operator
from features.support.processes import wait_until
from features.support.site import LOCALHOST, OPERATOR_TOKEN, ZONES, DaemonProcess, Site


def controller_of(context: Any) -> DaemonProcess:
    """Return the daemon that leads, and remember it."""
    site: Site = context.site
    wait_until(lambda: site.controller() is not None, "a daemon leads")
    controller = site.controller()
    assert controller is not None
    context.controller = controller
    return controller


def ask(
    context: Any,
    daemons: list[DaemonProcess],
    count: int,
    models: list[str],
    stream: bool | None = None,
    timeout_seconds: float = 30.0,
) -> None:
    """Begin ``count`` requests for each model at each daemon; by default every other streamed."""
    requests = [
        chat(
            daemon.address,
            model,
            f"{daemon.name}-{model}-{number}",
            stream=number % 2 == 0 if stream is None else stream,
            timeout_seconds=timeout_seconds,
        )
        for number in range(count)
        for daemon in daemons
        for model in models
    ]
    context.sent = getattr(context, "sent", []) + requests
    context.site.callers.begin(requests)


def finished(context: Any) -> list[Reply]:
    """Return all replies, waiting for those that are still out."""
    context.replies += context.site.callers.finish()
    replies: list[Reply] = context.replies
    assert replies, "there are no replies"
    return replies


def voters(site: Site) -> list[DaemonProcess]:
    """Return the daemons that say that they vote."""
    return [d for d in site.daemons.values() if d.metric("loomwind_voter") == 1.0]


def running(site: Site) -> list[DaemonProcess]:
    """Return the daemons whose process runs."""
    return [d for d in site.daemons.values() if d.process is not None and d.process.alive]


def client_for(daemon: DaemonProcess, token: str = OPERATOR_TOKEN) -> Operator:
    """Return an operator at a daemon."""
    return Operator(f"{LOCALHOST}:{daemon.ports.operator}", token)


def start_site(
    site: Site,
    daemons: int,
    engines: int,
    linked_zone: str = "",
    linked_pair: tuple[str, str] | None = None,
    **engine: object,
) -> None:
    """Start a platform, engines and daemons spread over three zones, and wait until ready."""
    if site.platform is None:
        site.start_platform()
    for number in range(engines):
        if f"engine-{number + 1}" in site.engines:
            continue
        site.start_engine(f"engine-{number + 1}", ZONES[number % 3], **engine)
    site.list_machines()
    for number in range(daemons):
        site.add_daemon(f"daemon-{number + 1}", ZONES[number % 3])
    if linked_zone:
        site.link_zone(linked_zone)
    if linked_pair:
        site.link_pair(*linked_pair)
    for daemon in site.daemons.values():
        site.start_daemon(daemon)
    site.wait_ready()
    wait_until(
        lambda: all(
            d.metric("loomwind_members", state="alive") == daemons - 1
            for d in site.daemons.values()
        ),
        "all daemons know each other",
    )
