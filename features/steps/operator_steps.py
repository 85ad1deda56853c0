"""Steps for operator calls: changes, conflicts, lost responses, and the resulting catalogs."""

from concurrent.futures import ThreadPoolExecutor
from typing import Any

from behave import then, when

from features.support.acting import client_for
from features.support.caller import chat, send
from features.support.checking import expected_text
from features.support.processes import wait_until
from features.support.site import DaemonProcess, Site
from loomwind.operator.client import (
    ChangeConflict,
    NotAuthenticated,
    ObjectNotFound,
    OperatorError,
    OperatorUnavailable,
)


def all_daemons(site: Site) -> list[DaemonProcess]:
    """Return all daemons."""
    return list(site.daemons.values())


def catalog_versions(site: Site) -> list[int]:
    """Return the catalog version of each daemon."""
    return [int(d.metric("loomwind_catalog_version")) for d in all_daemons(site)]


@when("an operator creates {count:d} groups through different daemons")
def step_create(context: Any, count: int) -> None:
    site: Site = context.site
    context.version_before = max(catalog_versions(site))
    for number in range(count):
        daemon = all_daemons(site)[number % len(site.daemons)]
        client_for(daemon).put_group(f"group-{number}", 1.0 + number)


@when("an operator creates {count:d} groups through {name}")
def step_create_at(context: Any, count: int, name: str) -> None:
    context.version_before = max(catalog_versions(context.site))
    for number in range(count):
        client_for(context.site.daemons[name]).put_group(f"cut-{number}", 1.0)


@then("all daemons have the same catalog version, at least {count:d} higher")
def step_same_version(context: Any, count: int) -> None:
    site: Site = context.site
    minimum_version = context.version_before + count
    wait_until(
        lambda: (
            len(set(catalog_versions(site))) == 1 and catalog_versions(site)[0] >= minimum_version
        ),
        "all daemons have the newest version",
    )


@then("no daemon ever showed a lower catalog version")
def step_never_lower(context: Any) -> None:
    assert min(catalog_versions(context.site)) >= context.version_before


@when("{count:d} operators change the share of group {name} at the same version")
def step_race(context: Any, count: int, name: str) -> None:
    site: Site = context.site
    base = client_for(all_daemons(site)[0]).group(name).version

    def change(number: int) -> float | None:
        daemon = all_daemons(site)[number % len(site.daemons)]
        try:
            client_for(daemon).put_group(name, 2.0 + number, base)
        except ChangeConflict:
            return None
        return 2.0 + number

    with ThreadPoolExecutor(count) as pool:
        context.results = list(pool.map(change, range(count)))


@then("exactly 1 of the changes is accepted and the others are conflicts")
def step_one_accepted(context: Any) -> None:
    accepted = [share for share in context.results if share is not None]
    assert len(accepted) == 1, context.results
    context.accepted = accepted[0]


@then("all daemons show the accepted share")
def step_show_share(context: Any) -> None:
    wait_until(
        lambda: all(
            client_for(d).group("school").group.share == context.accepted
            for d in all_daemons(context.site)
        ),
        "all daemons show the accepted share",
    )


@when("an operator tries to create group {name}")
def step_try(context: Any, name: str) -> None:
    step_try_id(context, name, "")


@when("an operator tries with change id {change} to create group {name}")
def step_try_id(context: Any, name: str, change: str) -> None:
    context.version_before = max(catalog_versions(context.site))
    context.error = None
    try:
        client_for(all_daemons(context.site)[0]).put_group(name, 1.0, change_id=change)
    except OperatorError as error:
        context.error = error


@then("the change is refused as unavailable")
def step_refused(context: Any) -> None:
    assert isinstance(context.error, OperatorUnavailable), context.error


@then("no daemon shows group {name}")
def step_not_shown(context: Any, name: str) -> None:
    for daemon in all_daemons(context.site):
        try:
            found = client_for(daemon).group(name)
        except ObjectNotFound:
            continue
        raise AssertionError(found)


@when("the platform loses the responses to writes")
def step_lose_writes(context: Any) -> None:
    context.site.platform.fault(lose_answers=True, matches="/table/catalog")


@when("the platform responds again")
def step_answers(context: Any) -> None:
    context.site.platform.fault()


@when("the operator repeats the change with change id {change} through another daemon")
def step_repeat(context: Any, change: str) -> None:
    client_for(all_daemons(context.site)[1]).put_group("late", 1.0, change_id=change)


@then("group {name} was created once, and all daemons show it")
def step_created_once(context: Any, name: str) -> None:
    site: Site = context.site
    wait_until(
        lambda: set(catalog_versions(site)) == {context.version_before + 1}, "one version was added"
    )
    assert all(client_for(d).group(name).group.name == name for d in all_daemons(site))


@when("the daemon {name} is started")
def step_start(context: Any, name: str) -> None:
    site: Site = context.site
    context.expected_version = max(catalog_versions(site))
    site.daemons[name] = context.spare
    site.start_daemon(context.spare)


@then("{name} has the catalog version of the others when it is ready")
def step_learned(context: Any, name: str) -> None:
    daemon = context.site.daemons[name]
    wait_until(lambda: bool(daemon.ready), f"{name} is ready")
    assert daemon.metric("loomwind_catalog_version") == context.expected_version


@when("an operator with a wrong token lists the groups")
def step_wrong_token(context: Any) -> None:
    context.error = None
    try:
        client_for(all_daemons(context.site)[0], "not-the-token").groups()
    except OperatorError as error:
        context.error = error


@then("the call is refused as not authenticated")
def step_not_authenticated(context: Any) -> None:
    assert isinstance(context.error, NotAuthenticated), context.error


@when("an operator makes {version} the current version of {model}")
def step_use(context: Any, version: str, model: str) -> None:
    client_for(all_daemons(context.site)[0]).use_version(model, version)


@when("callers ask for {model} one after the other until {version} responds")
def step_until(context: Any, model: str, version: str) -> None:
    site: Site = context.site
    context.waits = []

    def new_version_responds() -> bool:
        request = chat(all_daemons(site)[0].address, model)
        reply = send(request)
        context.replies.append(reply)
        context.waits.append(reply.seconds)
        assert reply.text() == expected_text(request)
        new_artifact = f"{model}@{version}"
        return any(h["busy_seconds"] > 0 for h in site.holdings(new_artifact))

    wait_until(new_version_responds, f"{version} responds")


@then("no caller waited for the load")
def step_no_wait(context: Any) -> None:
    """Check that each response took less than half of the configured load time."""
    load = context.site.catalog["models"][0]["versions"][0]["load_seconds"]
    assert max(context.waits) < load / 2, context.waits
