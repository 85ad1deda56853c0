"""State of a stand-in model server and the effect of orders on it; callers pass the time.

It records each order that overcommits memory or adapter slots, for tests to check.
"""

from collections import Counter

from msgspec import Struct


class ModelSpec(Struct, rename="kebab"):
    """A model, as the configuration describes it."""

    name: str
    weights_mb: float
    load_time_s: float
    adapters: int = 0
    adapter_mb: float = 0.0
    warm_s: float = 0.1
    disk_load_s: float = 0.1


class OrderBody(Struct, rename="kebab"):
    """The request body of an order."""

    op: str = ""
    model: str = ""
    adapter: str = ""
    holder: str = ""
    fencing_token: int | None = None
    expect_revision: int | None = None


class WeightOperation(Struct):
    """A load or unload of weights that is in progress."""

    op: str
    model: str
    done_at: float


class Holdings:
    """Models, adapters, revision and fence of one server instance."""

    def __init__(self, specs: list[ModelSpec], memory_mb: float, adapter_slots: int) -> None:
        self._specs = {spec.name: spec for spec in specs}
        self._memory_mb = memory_mb
        self._adapter_slots = adapter_slots
        self.held: dict[str, list[str]] = {}
        self.on_disk: set[str] = set()
        self.revision = 0
        self.fence = 0
        self.operation: WeightOperation | None = None
        self.running: Counter[str] = Counter()
        self.violations: list[str] = []
        self.store_loads = 0

    def complete_due_operation(self, now: float) -> None:
        """Complete the operation in progress if it is due.

        An unload waits until the model's running requests have ended.
        """
        operation = self.operation
        if operation is None or now < operation.done_at:
            return
        if operation.op == "unload" and self.running[operation.model]:
            return
        self.operation = None
        if operation.op == "load":
            self.held.setdefault(operation.model, [])
            self.on_disk.add(operation.model)
        else:
            self.held.pop(operation.model, None)

    def used_mb(self) -> float:
        """Return the used memory, including that of an operation in progress."""
        names = set(self.held) | ({self.operation.model} if self.operation else set())
        weights = sum(self._specs[name].weights_mb for name in names)
        return weights + sum(self._specs[n].adapter_mb * len(a) for n, a in self.held.items())

    def apply_order(self, body: OrderBody, now: float) -> int:
        """Apply an order and return the HTTP status of the response."""
        self.complete_due_operation(now)
        if not body.holder or body.fencing_token is None or body.model not in self._specs:
            return 400
        if body.fencing_token < self.fence:
            return 412
        if self.operation is not None:
            return 409
        if body.expect_revision is not None and body.expect_revision != self.revision:
            return 409
        self.fence = body.fencing_token
        status = (
            self._apply_adapter_order(body) if body.adapter else self._apply_weight_order(body, now)
        )
        if status in (200, 202):
            self.revision += 1
        if self.used_mb() > self._memory_mb:
            self.violations.append(f"{body.op} {body.model}: {self.used_mb()} MB")
        if sum(len(a) for a in self.held.values()) > self._adapter_slots:
            self.violations.append(f"adapters: {self.held}")
        return status

    def _apply_weight_order(self, body: OrderBody, now: float) -> int:
        spec = self._specs[body.model]
        if body.op == "unload" and self.running[body.model]:
            self.operation = WeightOperation("unload", body.model, now)
            return 202
        if body.op == "unload":
            self.held.pop(body.model, None)
            return 200
        if body.model in self.held:
            return 200
        from_disk = body.model in self.on_disk
        self.store_loads += not from_disk
        seconds = spec.disk_load_s if from_disk else spec.load_time_s
        self.operation = WeightOperation("load", body.model, now + seconds)
        return 202

    def _apply_adapter_order(self, body: OrderBody) -> int:
        adapters = self.held.get(body.model)
        if adapters is None:
            return 400
        if body.op == "unload":
            if body.adapter in adapters:
                adapters.remove(body.adapter)
            return 200
        if body.adapter not in adapters:
            adapters.append(body.adapter)
        return 202

    def is_unloading(self, model: str) -> bool:
        """Return whether a model is being unloaded and waits for its running requests."""
        return (
            self.operation is not None
            and self.operation.op == "unload"
            and self.operation.model == model
        )

    def can_run(self, model: str, adapter: str) -> bool:
        """Return whether a request for a model and an optional adapter can run."""
        return model in self.held and (not adapter or adapter in self.held[model])
