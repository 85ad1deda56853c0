"""Steps for the configuration and the server list in the store."""

import socket
import subprocess
import sys
from typing import Any

from behave import given, then, when

from features.steps.pool_steps import first_daemon, pool, replies_of
from features.support.caller import send
from features.support.pool_site import PLAIN_SERVICE, PoolSite, route
from features.support.processes import Process, wait_until
from features.support.template import FIELDS, render


@when("the deploy template is rendered for a machine")
def step_render_template(context: Any) -> None:
    context.settings_path = pool(context).folder / "filled.toml"
    context.settings_path.write_text(render(FIELDS))


@then("check-config accepts it")
def step_check_config(context: Any) -> None:
    command = [sys.executable, "-m", "loomwind", "check-config", str(context.settings_path)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0, result.stdout + result.stderr


@when("a route {name} to {service} is added")
def step_add_route(context: Any, name: str, service: str) -> None:
    site = pool(context)
    site.routes.append(route(name, "idempotent", service))
    site.configure()


@when("an older version without that route is written")
def step_write_older_version(context: Any) -> None:
    site = pool(context)
    newest, routes = site.version, site.routes
    site.routes = routes[:-1]
    site.configure(version=newest - 1)
    site.version, site.routes = newest, routes


@when("the store discards its history")
def step_discard_history(context: Any) -> None:
    pool(context).discard_history()


@when("a new plain server is known to every daemon")
def step_new_server(context: Any) -> None:
    site = pool(context)
    site.add_plain_server("later")
    wait_for_metric(site, "loomwind_servers", float(len(site.servers)))


@when("every daemon gets the newest configuration")
@then("every daemon has the newest configuration")
def step_newest(context: Any) -> None:
    site = pool(context)
    wait_for_metric(site, "loomwind_catalog_version", float(site.version))


def wait_for_metric(site: PoolSite, name: str, value: float) -> None:
    """Wait until a metric has a value at every daemon."""

    def all_have_it() -> bool:
        return all(daemon.metric(name) == value for daemon in site.daemons.values())

    wait_until(all_have_it, f"{name} is {value} at every daemon")


@then("every daemon serves a plain request on {name}")
def step_all_serve(context: Any, name: str) -> None:
    site = pool(context)
    for daemon in site.daemons.values():
        reply = send(site.request(daemon, name))
        assert reply.status == 200, (daemon.name, reply.status, reply.body)


@given("a daemon that connects to the store through a link")
def step_daemon_with_link(context: Any) -> None:
    site = pool(context)
    arguments = ["--targets", site.store_address]
    link = Process("standins.link", arguments, site.folder / "link.log")
    site.links.append(link)
    port, context.link_control = link.ports()
    site.add_daemon("cuttable", f"127.0.0.1:{port}")
    site.wait_ready()


@when("its link to the store is cut")
def step_cut_link(context: Any) -> None:
    with socket.create_connection(("127.0.0.1", context.link_control)) as control:
        control.sendall(b"cut\n")
        control.recv(64)


@given("a daemon while the store is unavailable")
def step_daemon_no_store(context: Any) -> None:
    site = pool(context)
    site.set_store_faults(mode="busy")
    site.add_daemon("alone")
    daemon = first_daemon(context)
    wait_until(lambda: daemon.ready_status() == 503, "the daemon answers that it is not ready")


@when("the daemons know {count:d} usable servers")
def step_usable_servers(context: Any, count: int) -> None:
    wait_for_metric(pool(context), "loomwind_servers_usable", float(count))


@then("ten plain requests all run at {name}")
def step_all_run_at(context: Any, name: str) -> None:
    site = pool(context)
    requests = [site.request(first_daemon(context), "look") for _ in range(10)]
    site.callers.begin(requests)
    replies = replies_of(context)
    runs = site.servers[name].state()["runs"]
    assert all(reply.request_id in runs for reply in replies), (runs, PLAIN_SERVICE)
