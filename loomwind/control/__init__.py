"""Control plane of a cell: the replicated register, placement decisions and engine orders.

The decision logic (``voter``, ``candidate``, ``engine_tracker``, ``placement``,
``slot_allocation``, ``keep_alive``) does no I/O and reads no clock; ``register_service`` and
``controller`` drive it.
"""
