"""Pictures of results; needs matplotlib, the optional extra ``plot``."""

from pathlib import Path
from typing import TYPE_CHECKING

import matplotlib

if TYPE_CHECKING:
    from bench.compare import Difference
    from bench.site import SiteResult

matplotlib.use("Agg")


def plot_results(results: "list[SiteResult]", path: Path) -> None:
    """Draw cold-start quantiles and idle hours of some runs side by side."""
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
    names = [f"{r.site} {r.policy} {r.seed}" for r in results]
    for label, values in (
        ("p50", [r.cold_start_p50_seconds for r in results]),
        ("p99", [r.cold_start_p99_seconds for r in results]),
        ("burst p99 bound", [r.burst_p99_bound_seconds for r in results]),
    ):
        left.plot(names, values, "o", label=label)
    left.set_ylabel("cold start (s)")
    left.legend()
    right.bar(names, [r.idle_accelerator_hours for r in results])
    right.set_ylabel("idle accelerator hours")
    figure.autofmt_xdate()
    figure.savefig(path)


def plot_differences(differences: "dict[str, Difference]", path: Path) -> None:
    """Draw the mean difference of worth of each site and day, with its confidence interval."""
    from matplotlib import pyplot

    names = sorted(differences, reverse=True)
    means = [differences[name].mean for name in names]
    halves = [differences[name].half_width for name in names]
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.4 * len(names)))
    axes.errorbar(means, names, xerr=halves, fmt="o", capsize=3)
    axes.axvline(0.0, color="grey", linewidth=1)
    axes.set_xlabel("difference of worth, 95 % interval")
    figure.tight_layout()
    figure.savefig(path)
