"""Stand-ins for the systems that Loomwind works with; each runs as a process and can inject faults.

They serve the tests, the demo and the benchmarks, and are not part of the product.
"""
