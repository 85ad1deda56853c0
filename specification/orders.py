"""Orders to an engine: memory limits, lost responses, engine restarts and paused controllers.

One engine has memory for one of two models. The register is a single cell that only the newest
ballot may write (``register`` and ``voters`` specify how). There are two controllers, and the first
may continue after the second took over. Orders may be delayed indefinitely and repeated; responses
may be lost. The engine may restart once, as a new instance without models and fencing token.

The engine also refuses loads that exceed its memory, but the model does not rely on this.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

from specification.model import Model, Mutation, State, Step

MODELS = ("a", "b")
CAPACITY = 1
MAX_SEQUENCE = 5
UNKNOWN = None


class Engine(NamedTuple):
    """The engine; ``went_back`` is set if it executed an order older than one it accepted."""

    instance: int = 1
    fence: tuple[int, int] = (0, 0)
    holds: frozenset[str] = frozenset()
    went_back: bool = False


class Order(NamedTuple):
    """An order in flight."""

    ballot: int
    sequence: int
    load: bool
    model: str
    instance: int


class Read(NamedTuple):
    """The last inventory that a controller read from the engine."""

    instance: int
    holds: frozenset[str]


class Intent(NamedTuple):
    """A decision that one instance of the engine may hold a model."""

    model: str
    instance: int


class Controller(NamedTuple):
    """A controller; ``open`` is its unanswered order, ``settled`` the intents it wrote last."""

    sequence: int = 0
    read: Read | None = UNKNOWN
    open: Order | None = None
    settled: frozenset[Intent] = frozenset()


MUTATIONS = (
    Mutation("engine-fence", "an engine refuses an order that is not above its fence"),
    Mutation("engine-instance", "an engine refuses an order for another instance of it"),
    Mutation("intent-instance", "an order is sent to the engine instance of its intent"),
    Mutation(
        "lost-is-unknown", "an unanswered order may have been executed until an inventory is read"
    ),
    Mutation("reserve-until-unloaded", "memory stays reserved until the unload is confirmed"),
    Mutation("intent-first", "a load is ordered only after its intent is in the register"),
)

FIELDS = ("intents", "ballot", "engine", "controllers", "orders")
INITIAL: State = (frozenset(), 1, Engine(), (Controller(), Controller()), frozenset())


def transitions(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """Return the steps that are possible in a state."""
    intents, ballot, engine, controllers, orders = state
    if ballot == 1:
        yield "take-over", (intents, 2, engine, controllers, orders)
    if engine.instance == 1:
        restarted = Engine(instance=2, went_back=engine.went_back)
        yield "engine-restarts", (intents, ballot, restarted, controllers, orders)
    for c in (0, 1):
        if c + 1 <= ballot:
            yield from _read(state, c, disabled)
            yield from _write_intents(state, c, disabled)
            yield from _send_order(state, c, disabled)
    yield from _deliver_order(state, disabled)


def _put(controllers: tuple[Any, ...], c: int, controller: Controller) -> tuple[Any, ...]:
    return (*controllers[:c], controller, *controllers[c + 1 :])


def _read(state: State, c: int, disabled: frozenset[str]) -> Iterator[Step]:
    """Fence the engine and read its inventory, which resolves an unanswered order."""
    intents, ballot, engine, controllers, orders = state
    controller = controllers[c]
    fence = (c + 1, controller.sequence + 1)
    if controller.sequence >= MAX_SEQUENCE or (
        controller.read is not None and controller.open is None
    ):
        return
    if fence < engine.fence and "engine-fence" not in disabled:
        return
    fenced = engine._replace(fence=max(fence, engine.fence))
    read = Read(engine.instance, engine.holds)
    updated = controller._replace(sequence=controller.sequence + 1, read=read, open=None)
    new_controllers = _put(controllers, c, updated)
    yield f"read({c})", (intents, ballot, fenced, new_controllers, orders)


def _write_intents(state: State, c: int, disabled: frozenset[str]) -> Iterator[Step]:
    """The controller with the newest ballot adds or removes an intent in the register."""
    intents, ballot, engine, controllers, orders = state
    controller = controllers[c]
    if ballot != c + 1 or controller.read is None:
        return
    counted = {intent.model for intent in intents} | controller.read.holds
    unloading = controller.open is not None and not controller.open.load
    if unloading and "reserve-until-unloaded" in disabled:
        counted = counted - {controller.open.model}
    for model in MODELS:
        if model not in counted and len(counted) < CAPACITY:
            proposed = intents | {Intent(model, controller.read.instance)}
            new_controllers = _put(controllers, c, controller._replace(settled=proposed))
            yield f"intend({c},{model})", (proposed, ballot, engine, new_controllers, orders)
    for intent in sorted(intents):
        unanswered = controller.open is not None and controller.open.model == intent.model
        unanswered = unanswered and "lost-is-unknown" not in disabled
        absent = intent.model not in controller.read.holds and not unanswered
        if absent or intent.instance != controller.read.instance:
            kept = intents - {intent}
            new_controllers = _put(controllers, c, controller._replace(settled=kept))
            yield f"forget({c},{intent.model})", (kept, ballot, engine, new_controllers, orders)


def _send_order(state: State, c: int, disabled: frozenset[str]) -> Iterator[Step]:
    intents, ballot, engine, controllers, orders = state
    controller = controllers[c]
    if controller.read is None or controller.sequence >= MAX_SEQUENCE:
        return
    if controller.open is not None and "lost-is-unknown" not in disabled:
        return
    for model in MODELS:
        load = model not in controller.read.holds
        instance = controller.read.instance
        if load and "intent-first" not in disabled:
            decided = [intent for intent in controller.settled if intent.model == model]
            if not decided:
                continue
            instance = decided[0].instance
            if "intent-instance" in disabled:
                instance = controller.read.instance
        order = Order(c + 1, controller.sequence + 1, load, model, instance)
        new_controllers = _put(
            controllers, c, controller._replace(sequence=controller.sequence + 1, open=order)
        )
        action = "load" if load else "unload"
        yield f"{action}({c},{model})", (intents, ballot, engine, new_controllers, orders | {order})


def _deliver_order(state: State, disabled: frozenset[str]) -> Iterator[Step]:
    """An order arrives; its response is received or lost."""
    intents, ballot, engine, controllers, orders = state
    for order in sorted(orders):
        fence = (order.ballot, order.sequence)
        if fence <= engine.fence and "engine-fence" not in disabled:
            continue
        if order.instance != engine.instance and "engine-instance" not in disabled:
            continue
        holds = engine.holds | {order.model} if order.load else engine.holds - {order.model}
        went_back = engine.went_back or fence < engine.fence
        after = Engine(engine.instance, max(fence, engine.fence), holds, went_back)
        if after != engine:
            yield f"deliver({order.ballot})", (intents, ballot, after, controllers, orders)
        c = order.ballot - 1
        if controllers[c].open == order:
            read = Read(order.instance, holds)
            updated = controllers[c]._replace(read=read, open=None)
            new_controllers = _put(controllers, c, updated)
            yield f"answer({order.ballot})", (intents, ballot, after, new_controllers, orders)


def _memory_not_overcommitted(state: dict[str, Any]) -> bool:
    return len(state["engine"].holds) <= CAPACITY


def _no_older_order(state: dict[str, Any]) -> bool:
    return not state["engine"].went_back


def canonical(state: State) -> State:
    """Drop orders that can no longer be executed, since they have no effect."""
    intents, ballot, engine, controllers, orders = state
    open_orders = {controller.open for controller in controllers}
    live = frozenset(
        order
        for order in orders
        if order in open_orders
        or ((order.ballot, order.sequence) > engine.fence and order.instance >= engine.instance)
    )
    return (intents, ballot, engine, controllers, live)


MODEL = Model(
    name="orders",
    fields=FIELDS,
    initial=INITIAL,
    transitions=transitions,
    canonical=canonical,
    invariants={
        "memory is never overcommitted": _memory_not_overcommitted,
        "no order older than one accepted": _no_older_order,
    },
    mutations=MUTATIONS,
)
