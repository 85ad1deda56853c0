"""Leader election by a lease in a row of the store, with a fencing token for each leader."""
