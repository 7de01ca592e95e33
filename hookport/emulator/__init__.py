"""Limiters in virtual time: the decision module and the beliefs of ``membership`` among models of servers and
desks.

No sockets, no wall clock; whatever is left to chance is drawn from the seed, so that a seed is a verdict.
"""

from hookport.emulator.clock import Clock
from hookport.emulator.restart_scenario import AGES_S, MODES, RestartResult, RestartScenario, simulate_restart
from hookport.emulator.servers import Behaviour, Model, Server
from hookport.emulator.simulated_limiter import Answer, SimulatedLimiter

__all__ = [
    "AGES_S", "MODES", "Answer", "Behaviour", "Clock", "RestartResult", "Model", "RestartScenario",
    "SimulatedLimiter", "Server", "simulate_restart",
]  # fmt: skip
