"""The request pipeline: parse, identify, admit, queue, select, forward, relay.

Each stage is a module with one input and one output type; ``handler`` runs them in order.
"""
