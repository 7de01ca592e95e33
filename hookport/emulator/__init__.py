"""Simulation of limiters in virtual time.

``restart_scenario`` runs the limiter's policy and the server records of ``membership`` against models of
servers and clients. ``whole`` runs the daemon and the test harness on a virtual event loop. Neither uses
sockets or the wall clock, and all random draws come from the seed: the same seed gives the same result.
"""

from hookport.emulator.clock import Clock
from hookport.emulator.restart_scenario import AGES_S, MODES, RestartResult, RestartScenario, simulate_restart
from hookport.emulator.servers import Behaviour, Server, ServerModel
from hookport.emulator.simulated_limiter import Answer, SimulatedLimiter

__all__ = [
    "AGES_S", "MODES", "Answer", "Behaviour", "Clock", "RestartResult", "ServerModel", "RestartScenario",
    "SimulatedLimiter", "Server", "simulate_restart",
]  # fmt: skip
