"""Faults that are planted into an invoker, to show that the judge finds them.

Each is the text of a `sitecustomize` module, which the interpreter imports before the invoker starts.
"""

from __future__ import annotations

from pathlib import Path

from ..world import ROOT

CLOSE_OVER_OPEN_CALL = """
from harrieryoke.net import client
from harrieryoke.net.connection_state import EndReason
handle_line = client.ClientActor.handle_line
lines = 0
def close_sometimes(self, line):
    global lines
    lines += 1
    handle_line(self, line)
    if lines % 50 == 0 and self.open:
        self.stop_serving(EndReason.IDLE, self.owed_calls(), "planted")
client.ClientActor.handle_line = close_sometimes
"""

TABLE_WITHOUT_BOUND = """
from harrieryoke import router
router.make_room = router.shrink = lambda *arguments: None
"""

DROPPED_ANSWER = """
from harrieryoke.net import client
write_answer = client.ClientActor.write_answer
answers = 0
def drop_sometimes(self, call, reply):
    global answers
    answers += 1
    if answers % 50:
        write_answer(self, call, reply)
client.ClientActor.write_answer = drop_sometimes
"""

FAULTS = {
    "a close over an open call": CLOSE_OVER_OPEN_CALL,
    "a table without bound": TABLE_WITHOUT_BOUND,
    "an answer dropped": DROPPED_ANSWER,
}


def plant(fault: str, folder: Path) -> dict[str, str]:
    """Write the fault into the folder; return the environment in which an invoker has it."""
    (folder / "sitecustomize.py").write_text(FAULTS[fault])
    return {"PYTHONPATH": f"{folder}:{ROOT}"}
