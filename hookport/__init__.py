"""hookport: a request limiter on real sockets, round the decisions of aniseshed."""

__version__ = "0.2.0"
