"""Simulated servers, counter, discovery and network for limiters under test, on loopback addresses.

Each speaks the published protocol of the system that it replaces.
"""

from hookport.rehearsal.standins.counter import Counter
from hookport.rehearsal.standins.datagrams import DatagramRelay
from hookport.rehearsal.standins.discovery import Agent, Fleet
from hookport.rehearsal.standins.proxy import Proxy
from hookport.rehearsal.standins.server import Model, Server

__all__ = ["Agent", "Counter", "Fleet", "Model", "DatagramRelay", "Proxy", "Server"]
