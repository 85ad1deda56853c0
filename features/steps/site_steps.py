"""Steps that build a site."""

import json
from typing import Any

from behave import given, when

from features.support.acting import start_site
from features.support.site import ZONES, Site


@given("model {name} of {memory:d} MiB that loads in {seconds:g} s, at most {replicas:d} replicas")
def step_model(context: Any, name: str, memory: int, seconds: float, replicas: int) -> None:
    version = {"name": "v1", "memory_mib": memory, "load_seconds": seconds}
    context.site.catalog["models"].append(
        {
            "name": name,
            "group": "school",
            "current": "v1",
            "versions": [version, {**version, "name": "v2"}],
            "max_replicas": replicas,
        }
    )


@given("{count:d} models of {memory:d} MiB that load in {seconds:g} s")
def step_models(context: Any, count: int, memory: int, seconds: float) -> None:
    for number in range(count):
        step_model(context, f"model-{number}", memory, seconds, 1)


@given("adapter {name} of model {model}")
def step_adapter(context: Any, name: str, model: str) -> None:
    context.site.catalog["adapters"].append(
        {"name": name, "group": "school", "model": model, "version": "v1", "load_seconds": 0.1}
    )


@given("{count:d} application servers for {application} at {prefix}")
def step_applications(context: Any, count: int, application: str, prefix: str) -> None:
    site: Site = context.site
    site.start_platform()
    for number in range(count):
        site.start_application(f"{application}-{number + 1}", application, ZONES[number % 3])
    site.catalog["routes"].append({"prefix": prefix, "application": application, "group": "school"})


@given("a weight store that starts {rate:g} loads a second and runs {parallel:d} at once")
def step_weight_store(context: Any, rate: float, parallel: int) -> None:
    context.site.start_platform(rate, parallel)


@given("streams are cut after {seconds:g} s of silence")
def step_stall(context: Any, seconds: float) -> None:
    context.site.extra["limits"] = {"stream_stall_seconds": seconds}


@given("a site of {daemons:d} daemons and {engines:d} engines")
def step_site(context: Any, daemons: int, engines: int) -> None:
    start_site(context.site, daemons, engines)


@given("a site of {daemons:d} daemons and {engines:d} engines of {memory:d} MiB")
def step_site_memory(context: Any, daemons: int, engines: int, memory: int) -> None:
    start_site(context.site, daemons, engines, memory_mib=memory)


@given("a site of {daemons:d} daemons and {engines:d} engines whose {zone} can be cut off")
def step_site_linked(context: Any, daemons: int, engines: int, zone: str) -> None:
    start_site(context.site, daemons, engines, linked_zone=zone)


@given(
    "a site of {daemons:d} daemons and {engines:d} engines where {one} and {other} "
    "can lose each other"
)
def step_site_pair(context: Any, daemons: int, engines: int, one: str, other: str) -> None:
    start_site(context.site, daemons, engines, linked_pair=(one, other))


@given("a site of {daemons:d} daemons and {engines:d} engines with slow tokens")
def step_site_slow(context: Any, daemons: int, engines: int) -> None:
    start_site(context.site, daemons, engines, token_seconds=0.05)


@when("each engine has token pauses of {seconds:g} s")
def step_token_pauses(context: Any, seconds: float) -> None:
    for engine in context.site.engines.values():
        engine.fault(token_seconds=seconds)


@when("the back end {name} has the fault {fault} = {value}")
def step_fault(context: Any, name: str, fault: str, value: str) -> None:
    site: Site = context.site
    backends = {backend.name: backend for backend in site.backends()}
    assert site.platform is not None
    backends["platform"] = site.platform
    chosen = backends.values() if name == "each" else [backends[name]]
    for backend in chosen:
        backend.fault(**{fault: json.loads(value)})
