"""hookport: an asyncio daemon that limits and forwards requests, driven by the policy in aniseshed."""

__version__ = "0.2.0"
