"""Steps that bring failures about, and that look at what was loaded."""

import signal
from typing import Any

from behave import then, when

from features.support.acting import ask, controller_of
from features.support.processes import wait_until
from features.support.site import Site, peak_replicas
from loomwind.ports.base import MachineState


def catalog_models(site: Site) -> list[str]:
    """Return the names of all models."""
    return [model["name"] for model in site.catalog["models"]]


@when("{count:d} callers ask each daemon for each model")
def step_each_model(context: Any, count: int) -> None:
    ask(context, list(context.site.daemons.values()), count, catalog_models(context.site))
    context.replies = context.site.callers.finish()


@when("{count:d} callers begin to ask each daemon but the controller for each model")
def step_each_model_begin(context: Any, count: int) -> None:
    controller = controller_of(context)
    others = [d for d in context.site.daemons.values() if d is not controller]
    ask(context, others, count, catalog_models(context.site))


@when("{count:d} callers ask each daemon for {model} within {seconds:g} s")
def step_burst_within(context: Any, count: int, model: str, seconds: float) -> None:
    daemons = list(context.site.daemons.values())
    ask(context, daemons, count, [model], timeout_seconds=seconds)
    context.replies = context.site.callers.finish()


@when("{count:d} callers ask each daemon for {model} as streams")
def step_burst_streams(context: Any, count: int, model: str) -> None:
    ask(context, list(context.site.daemons.values()), count, [model], stream=True)
    context.replies = context.site.callers.finish()


@when("{count:d} callers begin to ask each daemon for {model} as streams")
def step_begin_streams(context: Any, count: int, model: str) -> None:
    ask(context, list(context.site.daemons.values()), count, [model], stream=True)


@when("{count:d} callers ask each daemon for {model} as plain requests")
def step_burst_plain(context: Any, count: int, model: str) -> None:
    ask(context, list(context.site.daemons.values()), count, [model], stream=False)
    context.replies = context.site.callers.finish()


@when("engines cut unframed streams after {count:d} bytes")
def step_cut_unframed_streams(context: Any, count: int) -> None:
    for engine in context.site.engines.values():
        engine.fault(cut_after_bytes=count, unframed=True)


@when("engines cut unframed streams after {count:d} bytes and cannot resume")
def step_end_unframed_streams(context: Any, count: int) -> None:
    for engine in context.site.engines.values():
        engine.fault(cut_after_bytes=count, unframed=True, cannot_resume=True)


@when("engines cut streams after {count:d} bytes and cannot resume")
def step_cut_streams(context: Any, count: int) -> None:
    for engine in context.site.engines.values():
        engine.fault(cut_after_bytes=count, cannot_resume=True)


@when("{count:d} callers ask each daemon for {model}")
def step_burst(context: Any, count: int, model: str) -> None:
    ask(context, list(context.site.daemons.values()), count, [model])
    context.replies = context.site.callers.finish()


@when("{count:d} callers begin to ask each daemon for {model}")
def step_burst_begin(context: Any, count: int, model: str) -> None:
    ask(context, list(context.site.daemons.values()), count, [model])


@when("{count:d} callers begin to ask each daemon but the controller for {model}")
def step_burst_others(context: Any, count: int, model: str) -> None:
    controller = controller_of(context)
    others = [d for d in context.site.daemons.values() if d is not controller]
    ask(context, others, count, [model])


@when("an engine loads any model")
def step_loads_any(context: Any) -> None:
    site: Site = context.site
    wait_until(lambda: any(s["holdings"] for s in site.statistics()), "an engine loads")


@then("the weight store was never asked for more than {parallel:d} at once nor too soon")
def step_weight_limits(context: Any, parallel: int) -> None:
    statistics = context.site.platform.control("/_statistics")
    assert 0 < statistics["peak_parallel"] <= parallel, statistics
    assert statistics["held_back"] == 0, statistics


@when("an engine loads {artifact}")
def step_loads(context: Any, artifact: str) -> None:
    site: Site = context.site
    wait_until(lambda: bool(site.holdings(artifact)), f"an engine loads {artifact}")
    context.loading = next(
        engine
        for engine in site.engines.values()
        if any(h["artifact"] == artifact for h in engine.control("/_statistics")["holdings"])
    )


@when("the controller is killed")
def step_kill(context: Any) -> None:
    controller_of(context).kill()


@when("the controller is paused")
def step_pause(context: Any) -> None:
    controller = controller_of(context)
    controller.signal(signal.SIGSTOP)
    # A paused daemon does not answer its admin address, so it is left out of what is asked.
    context.paused = controller
    del context.site.daemons[controller.name]


@when("the paused daemon goes on")
def step_continue(context: Any) -> None:
    context.paused.signal(signal.SIGCONT)
    context.site.daemons[context.paused.name] = context.paused
    wait_until(lambda: not context.paused.leading, "the paused daemon knows that it was replaced")


@then("another daemon leads")
def step_another(context: Any) -> None:
    site: Site = context.site
    former = context.controller
    others = [d for d in site.daemons.values() if d is not former]
    wait_until(lambda: any(d.leading for d in others), "another daemon leads")


@when("engines lose the answers to {path}")
def step_lose(context: Any, path: str) -> None:
    for engine in context.site.engines.values():
        engine.fault(lose_answers=True, matches=path)


@when("that engine is paused")
def step_pause_engine(context: Any) -> None:
    context.loading.process.signal(signal.SIGSTOP)


@when("that engine goes on")
def step_continue_engine(context: Any) -> None:
    context.loading.process.signal(signal.SIGCONT)


@when("that engine is killed and listed as gone")
def step_kill_engine(context: Any) -> None:
    context.loading.process.kill()
    context.loading.state = MachineState.GONE
    context.site.list_machines()


@then("at most {limit:d} replicas of {artifact} were loaded at once")
@then("at most {limit:d} replicas of {artifact} were loaded at once on engines that live")
def step_peak(context: Any, limit: int, artifact: str) -> None:
    holdings = context.site.holdings(artifact)
    assert holdings, f"{artifact} was never loaded"
    assert peak_replicas(holdings) <= limit, holdings


@then("no engine held more than {memory:d} MiB nor was asked to")
def step_memory(context: Any, memory: int) -> None:
    for statistics in context.site.statistics():
        assert statistics["peak_memory_mib"] <= memory, statistics
        assert statistics["orders_without_memory"] == 0, statistics
