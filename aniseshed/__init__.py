"""aniseshed: the decision logic of a quota-enforcing gateway, as a library."""
