"""Configuration reloads by frequent SIGHUPs, with valid and invalid files in turn, under load."""

from __future__ import annotations

import json
import threading
import time
from pathlib import Path
from typing import Any

from harrieryoke.net import frames

from .scenario import Scene
from .test_retune import NEW_CLASS, Change, add_class, changed_settings, set_value

INVALID_CHANGES: dict[str, Change] = {
    "settings.classes[0]: an object is": set_value("weight-read", "classes", 0),
    "settings.classes[1].hard-limit: it is missing": set_value(None, "classes", 1, "hard-limit"),
    "settings.realms: a list is": set_value("coops", "realms"),
    "settings.classes[0]: an object is expected": set_value([[]], "classes"),
    "settings.period: must be above 0": set_value(0, "period"),
    "settings.ceilings.max-attempts: 12089": set_value(2**80, "ceilings", "max-attempts"),
    "settings.classes[0].name: 1 to 256": set_value("", "classes", 0, "name"),
    "settings.ceilings.cancel: Expected": set_value("no", "ceilings", "cancel"),
    "settings.obligations: it is missing": set_value(..., "obligations"),
    "settings.classes[1].dedup-scope: Invalid": set_value("instance", "classes", 1, "dedup-scope"),
}
RELOADS = 300


class LoadedScene(Scene):
    """A host that answers each request at once, and a client that sends calls until `done`."""

    def __init__(self, folder: Path) -> None:
        super().__init__(folder)
        self.sent, self.wrong, self.stopped = 0, list[Any](), threading.Event()
        threading.Thread(target=self.serve, daemon=True).start()
        self.caller = threading.Thread(target=self.call, daemon=True)
        self.play("send c1 probe 100000\nexpect c1 100000 healthy")
        self.caller.start()

    def serve(self) -> None:
        host = self.hosts["h1"]
        while (frame := host.frame()) is not None:
            if frame.code == frames.REQUEST:
                host.sock().sendall(frames.encode(frames.OK, frame.id, {}, b"y", frames.FROM_HOST))

    def call(self) -> None:
        while not self.stopped.is_set():
            for _ in range(8):
                self.sent += 1
                self.play(f"send c1 call {self.sent} weight-read")
            answers = [json.loads(self.parties["c1"].line()) for _ in range(8)]
            self.wrong += [a for a in answers if "result" not in a]

    def write(self, change: Change) -> None:
        """Replaces the configuration file atomically."""
        temporary = self.folder / "temporary"
        temporary.write_text(json.dumps(self.config | {"settings": changed_settings(change)}))
        temporary.replace(self.folder / "config.json")

    def done(self) -> dict[str, int]:
        """Returns the metrics after the last call is answered."""
        self.stopped.set()
        self.caller.join()
        return self.figures()


def test_invalid_files_under_load_are_rejected_with_their_key(tmp_path: Path) -> None:
    scene = LoadedScene(tmp_path)
    try:
        for n, (key, change) in enumerate(INVALID_CHANGES.items(), 1):
            scene.write(change)
            scene.play(f"send node HUP\nwait reload-failed the old configuration stays: {key}")
            assert scene.figures()["invoker_config_rejected"] == n
        metrics = scene.done()
        assert not scene.wrong and metrics['invoker_responses{kind="weight-read",result="ok"}'] == scene.sent
        assert metrics["invoker_config_applied"] == 0
    finally:
        scene.end()


def test_frequent_reloads_lose_no_call_and_apply_the_last_file(tmp_path: Path) -> None:
    scene = LoadedScene(tmp_path)
    invalid_changes = list(INVALID_CHANGES.values())
    try:
        for n in range(RELOADS):
            scene.write(invalid_changes[n // 2 % len(invalid_changes)] if n % 2 else add_class)
            scene.play("send node HUP")
        scene.write(lambda s: s["classes"].append(NEW_CLASS | {"name": "last"}))
        scene.play("send node HUP")
        deadline = time.monotonic() + 10
        # waits for the metrics, as the log is rate-limited
        while 'invoker_tries{kind="last"}' not in scene.figures():
            assert time.monotonic() < deadline, "the last file was never applied"
        metrics = scene.done()
        assert not scene.wrong and metrics['invoker_responses{kind="weight-read",result="ok"}'] == scene.sent
        # signals that arrive before the last one is handled are merged
        handled = metrics["invoker_config_applied"] + metrics["invoker_config_rejected"]
        assert 2 <= handled <= RELOADS + 1 and scene.sent > 8
        scene.play("send c1 call 200000 last\nexpect c1 200000 result y")
        scene.play("send node TERM\nexpect node exit 0")
    finally:
        log = scene.end()
    assert "module-fault" not in log and "greenlet-died" not in log
