"""A soak of orders: ``behave features/order_soak.feature -D seed=N -D seconds=N -D daemons=N``."""

import functools
from typing import Any

from behave import given, then

from features.support.order_soak import (
    OrderSoak,
    ReceivedOrder,
    late_orders,
    quick_returns,
    shared_tokens,
)
from features.support.soak import SoakOptions


@functools.cache
def _result(options: SoakOptions) -> list[ReceivedOrder]:
    """Run the soak for the first scenario; the others judge the same run."""
    soak = OrderSoak(options)
    orders = soak.run()
    print(
        f"seed {options.seed}, {options.seconds:g} s, {options.daemons} daemons: "
        f"{len(orders)} orders under {len({each.fence for each in orders})} tokens, "
        f"{len(soak.faults)} faults; late {len(late_orders(orders))}, "
        f"shared tokens {len(shared_tokens(orders))}, "
        f"holders back within a lease {len(quick_returns(orders))}"
    )
    return orders


@given("a soak of orders with {daemons:d} daemons for {seconds:d} s, seed {seed:d}, or as given")
def step_soak(context: Any, daemons: int, seconds: int, seed: int) -> None:
    context.orders = _result(SoakOptions.read(context.config.userdata, seed, seconds, daemons))


@then("no server received an order under an earlier fencing token")
def step_none_late(context: Any) -> None:
    assert not late_orders(context.orders), late_orders(context.orders)[:5]


@then("no two daemons gave orders under one fencing token")
def step_own_tokens(context: Any) -> None:
    assert not shared_tokens(context.orders), shared_tokens(context.orders)


@then("no daemon gave orders to a server again within a lease after another one had")
def step_no_turns(context: Any) -> None:
    assert not quick_returns(context.orders), quick_returns(context.orders)[:5]


@then("servers received orders of several daemons")
def step_orders(context: Any) -> None:
    assert len({order.holder for order in context.orders}) > 1, len(context.orders)
