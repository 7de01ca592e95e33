"""hookport: a request limiter on real sockets, round the decisions of aniseshed."""
