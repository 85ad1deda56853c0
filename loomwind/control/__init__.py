"""Control of a cell: the replicated register, the controller's decisions and its orders.

Decision logic (``voter``, ``candidate``, ``engine_tracker``, ``placement``, ``slot_allocation``, ``keep_alive``) is
free of I/O and clocks; ``register_service`` and ``controller`` drive it.
"""
