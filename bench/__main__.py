"""``python -m bench COMMAND``: each prints lines of JSON, the result last.

``python -m bench --site mahoe`` is short for ``python -m bench site --site mahoe``.
"""

import sys

import fire

from bench import (
    callers,
    compare,
    configuration,
    detection,
    fairness,
    faults,
    latency,
    losses,
    pool,
    relay,
    site,
    sizes,
    store_calls,
    troubles,
    variants,
    weight_store,
)

if __name__ == "__main__":
    commands = {
        "latency": latency.run,
        "relay": relay.run,
        "failover": faults.failover,
        "bursts": faults.bursts,
        "site": site.run,
        "fairness": fairness.run,
        "detection": detection.run,
        "configuration": configuration.run,
        "sizes": sizes.run,
        "pool": pool.run,
        "compare": compare.compare,
        "callers": callers.callers,
        "losses": losses.losses,
        "store_calls": store_calls.store_calls,
        "troubles": troubles.troubles,
        "variants": variants.variants,
        "weight_store": weight_store.weight_store,
    }
    if sys.argv[1:2] and sys.argv[1].startswith("--site"):
        sys.argv.insert(1, "site")
    fire.Fire(commands, name="bench")
