"""Records the orders that a stand-in server answered, in a file that outlives its process."""

import json
import os
import time

from standins.pool.holdings import Holdings, OrderBody

SUFFIX = ".orders"


class OrderLog:
    """Orders and the statuses of their responses."""

    def __init__(self, run_log: str) -> None:
        """Create a log.

        :param run_log: path of the file with the runs, beside which it lies; empty for none.
        """
        path = os.path.splitext(run_log)[0] + SUFFIX
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self._file = os.open(path, flags, 0o644) if run_log else None

    def add(self, instance: str, body: OrderBody, status: int, holdings: Holdings) -> None:
        """Record an order; a process that is killed loses nothing it has recorded.

        :param holdings: what the server holds after the order.
        """
        if self._file is None:
            return
        fields = {
            "server": instance,
            "kind": body.op,
            "target": f"{body.model}/{body.adapter}" if body.adapter else body.model,
            "fence": body.fencing_token,
            "holder": body.holder,
            "received_s": time.time(),
            "revision": body.expect_revision,
            "status": status,
            "violations": holdings.violations,
        }
        os.write(self._file, json.dumps(fields).encode() + b"\n")
