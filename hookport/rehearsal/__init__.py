"""The test harness: runs real limiters against simulated peers on loopback and checks what they did.

``Play`` runs a plan and writes a history, ``judge_file`` checks a history against the rules and scores it.
Tests also use the simulated peers of ``hookport.rehearsal.standins`` and the scripted peers of
``hookport.rehearsal.scripted`` on their own. The daemon imports nothing from this package.
"""

from hookport.rehearsal.history import HistoryError
from hookport.rehearsal.judgement import Judgement, judge_file
from hookport.rehearsal.plan import Plan, PlanError, load
from hookport.rehearsal.play import DAEMON, PLAIN, RIVAL, Play, PlayError

__all__ = [
    "DAEMON", "PLAIN", "RIVAL", "HistoryError", "Judgement", "Plan", "PlanError", "Play", "PlayError",
    "judge_file", "load",
]  # fmt: skip
