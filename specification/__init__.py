"""A small specification of the core protocols, model-checked by ``python -m specification``.

Most modules define one model: a state machine over tuples, its invariants, and its mutations
(protocol rules that can be disabled). The models are small enough to read next to the code that
they specify.
"""
