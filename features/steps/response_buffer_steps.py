"""Steps about the memory that responses share while they are read whole."""

from typing import Any

from behave import then, when
from hypothesis import HealthCheck, Phase, given, seed, settings
from hypothesis import strategies as st

from loomwind import constants
from loomwind.serving.response_buffers import (
    MAX_TOTAL_BYTES,
    BodyTooLarge,
    ResponseBuffer,
    ResponseBuffers,
)

BODY_COUNT = 6
MAX_CHUNK_BYTES = 2 * constants.MEBIBYTE
MIN_CHUNK_BYTES = 128 * constants.KIBIBYTE
CHUNK_COUNT = 40
# Fixes the examples.
EXAMPLES_SEED = 4_120_602
CHUNKS = st.lists(
    st.tuples(st.integers(0, BODY_COUNT - 1), st.integers(MIN_CHUNK_BYTES, MAX_CHUNK_BYTES)),
    min_size=CHUNK_COUNT,
    max_size=CHUNK_COUNT,
)


class GrowingBodies:
    """Bodies of one run, and what was wrong with how they were discarded."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.discarded = 0
        self._expected_bytes = [0] * BODY_COUNT
        self._buffers = ResponseBuffers()
        self._bodies = [self._open(i) for i in range(BODY_COUNT)]

    def _open(self, i: int) -> ResponseBuffer:
        return self._buffers.open(None, lambda: self._check_largest(i))

    def _check_largest(self, i: int) -> None:
        self.discarded += 1
        size, self._expected_bytes[i] = self._expected_bytes[i], 0
        if size < max(self._expected_bytes):
            self.faults.append(f"a body of {size} bytes is discarded, {self._expected_bytes} kept")
        if size + sum(self._expected_bytes) <= MAX_TOTAL_BYTES:
            self.faults.append("a body is discarded though the limit is kept")

    def grow(self, i: int, count_bytes: int) -> None:
        """Add data to a body unless it was discarded, and check all sizes."""
        if self._bodies[i].is_discarded:
            return
        self._expected_bytes[i] += count_bytes
        try:
            self._bodies[i].append(bytes(count_bytes))
        except BodyTooLarge:
            self._expected_bytes[i] = 0
        sizes = [len(body) for body in self._bodies]
        if sizes != self._expected_bytes or sum(sizes) != self._buffers.total_bytes:
            self.faults.append(f"sizes are {sizes}, expected {self._expected_bytes}")
        if sum(sizes) > MAX_TOTAL_BYTES:
            self.faults.append(f"{sum(sizes)} bytes are kept")

    def finish(self) -> None:
        """Read all bodies, and check that only discarded ones fail and all memory is released."""
        for body in self._bodies:
            with body:
                try:
                    failed = len(body.body()) != len(body)
                except BodyTooLarge:
                    failed = not body.is_discarded
            if failed:
                self.faults.append("a body is not as it was added")
        if self._buffers.total_bytes:
            self.faults.append(f"{self._buffers.total_bytes} bytes are not released")


@when("bodies grow in random order by random amounts, in {count:d} runs")
def step_grow(context: Any, count: int) -> None:
    context.runs = []

    @seed(EXAMPLES_SEED)
    @settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    @given(CHUNKS)
    def run(chunks: list[tuple[int, int]]) -> None:
        bodies = GrowingBodies()
        for i, count_bytes in chunks:
            bodies.grow(i, count_bytes)
        bodies.finish()
        context.runs.append(bodies)

    run()


@then("each run kept the limit and discarded the largest body only, when it was exceeded")
def step_largest_only(context: Any) -> None:
    faults = [fault for run in context.runs for fault in run.faults]
    assert not faults, faults[:3]
    assert any(run.discarded for run in context.runs), "no run has exceeded the limit"
