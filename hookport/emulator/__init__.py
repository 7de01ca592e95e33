"""Limiters in virtual time: the decision module and the beliefs of ``membership`` among models of servers and
desks.

No sockets, no wall clock; whatever is left to chance is drawn from the seed, so that a seed is a verdict.
"""

from hookport.emulator.clock import Clock
from hookport.emulator.dawn import AGES_S, MODES, Dawn, Morning, play
from hookport.emulator.seat import Answer, Seat
from hookport.emulator.servers import Behaviour, Model, Server

__all__ = [
    "AGES_S", "MODES", "Answer", "Behaviour", "Clock", "Dawn", "Model", "Morning", "Seat", "Server", "play",
]  # fmt: skip
