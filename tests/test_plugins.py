"""Plug-ins in a running invoker: faulty and hostile ones, swaps, signatures, and the effect of advice."""

from __future__ import annotations

import json
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import gevent
import pytest

from harrieryoke.core.clock import now_ms
from harrieryoke.lab.plugins import CASES, VERSION
from harrieryoke.lab.world import child_pids
from harrieryoke.limits import Limits
from harrieryoke.plugins import bench
from harrieryoke.plugins.gate import PluginGate
from harrieryoke.plugins.package import read_package, verify
from harrieryoke.plugins.settings import PluginError

from .scenario import FUNCTION, ROOT, Scene, free_address, run
from .test_mqtt import READING, TEMPLATE

PLUGIN_ENTRY = '[[plugins.use]]\npath = "{path}"\n'
QUICK_SWAPS = "[plugins]\ntrial_calls = 2\ntrial_s = 0.1\nwatch_calls = 2\nwatch_s = 0.1\npause_s = 0.1\n"
SEND_CALL = "send c1 call 1 weight-read body=x\n"
SLOW_IF_BODY = "        for i in range(1000000000):\n            pass\n"  # a loop within an if


REFUSING_PLUGIN = "def on_request(r):\n    return 'refuse' if {} else None\n"


def served_call(n: int) -> str:
    return (
        f"send c1 call {n} weight-read body=x\nexpect h1 request body=x\nsend h1 ok body=y\n"
        f"expect c1 {n} result y"
    )


SERVED_CALL = served_call(1)
ENDLESS_HOOK_BODY = "    for i in range(1000000000):\n        for j in range(1000000000):\n            pass\n"
# case of lab/plugins.py -> the fault that must be reported; None for one that breaks no rule
EXPECTED_FAULTS = {
    "loops": "timeout",
    "loops-wasm": "fuel",
    "loops-on-outcome": "timeout",
    "loops-on-hosts": "timeout",
    "allocates": "killed",
    "wrong-type": "wrong-answer",
    "huge": "too-large",
    "nan": "wrong-answer",
    "not-text": "not-text",
    "raises": "raised",
    "recurses": "recursion",
    "floods-calls": "host-calls",
    "floods-log": None,
    "avoids-all": None,
    "prefers-gone": None,
    "warms-10000": None,
    "refuses-all": None,
    "other-tenant": "wrong-answer",
    "benign-starlark": None,
    "benign-wasm": None,
}


@pytest.mark.parametrize("case", EXPECTED_FAULTS)
def test_a_plugin_of_any_kind_leaves_each_call_one_answer(case: str, tmp_path: Path) -> None:
    source = CASES[case]
    assert source is not None
    path = tmp_path / f"p.{source[0]}"
    path.write_text(source[1])
    figures = bench.play(str(path), 40, seed=3)
    assert figures["answered"] == figures["calls"] == 40
    faults, kind = set(figures["faults"]), EXPECTED_FAULTS[case]
    assert faults <= {kind, "timeout"}, figures  # on a slow machine any call may time out
    assert faults or kind is None, figures
    if case == "refuses-all" and not faults:
        assert figures["refused"] == 40
    assert figures["peak_mb"] < 28 + 64 + 60  # the bare engine, its budget, and compiling


@pytest.mark.parametrize(
    ("name", "text", "words"),
    [
        ("p.star", "for i in range(1000000000):\n    for j in range(1000000000):\n        pass\n", "timeout"),
        ("p.wat", '(module (memory (export "memory") 1) (func $s (loop (br 0))) (start $s))', "fuel"),
        ("p.wat", "(module)", "memory"),
        ("p.star", "def on_request(", "raised"),
        ("p.wasm", "\0asm nonsense", "raised"),
        ("p.lua", "x", "wanted"),
    ],
)
def test_what_cannot_be_loaded_is_named_at_the_start(
    name: str, text: str, words: str, tmp_path: Path
) -> None:
    (tmp_path / name).write_text(text)
    if words == "wanted":
        with pytest.raises(PluginError, match=words):
            bench.play(str(tmp_path / name), 5, 1)
        return
    figures = bench.play(str(tmp_path / name), 5, 1)
    assert figures["by_default"] == 5 and words in figures["not_loaded"]
    with pytest.raises(PluginError, match=words):
        bench.load_plugin(str(tmp_path / name))


def test_a_hook_that_hangs_holds_no_other_call_of_its_connection(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n" + ENDLESS_HOOK_BODY)
    budgets = "[plugins]\nall_ms = 5000\n[plugins.budgets]\ncall_ms = 700\n"
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=x
        send c1 call 2 harvest-log body=k token=t1
        expect h1 request body=k
        send h1 ok body=z
        expect c1 2 result z
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y
        wait plugin-failed""",
        operator=budgets + PLUGIN_ENTRY.format(path="p.star") + 'classes = ["weight-read"]\n',
    )


def test_a_client_that_leaves_while_a_hook_hangs_is_sent_nowhere(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text(
        "def on_request(r):\n    if r['lanes'] == 8:\n        log('asked')\n" + SLOW_IF_BODY
    )
    budgets = "[plugins]\nall_ms = 900\n[plugins.budgets]\ncall_ms = 500\n"
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=x
        send c1 giveUp 1
        wait plugin-failed
        send c1 call 2 weight-read body=z props=memory_mb:512;lanes:4
        expect h1 request body=z
        send h1 ok body=y
        expect c1 2 result y""",
        operator=budgets + PLUGIN_ENTRY.format(path="p.star"),
    )


@pytest.mark.parametrize("default", ["admit", "refuse"])
def test_sigterm_while_a_hook_hangs_answers_what_was_taken(default: str, tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n" + ENDLESS_HOOK_BODY)
    end = "expect h1 request body=x\nsend h1 ok body=y\nexpect c1 1 result y\n"
    run(
        tmp_path,
        SEND_CALL
        + "send node TERM\n"
        + (end if default == "admit" else "expect c1 1 error -32050\n")
        + "expect node exit 0",
        operator="[plugins.budgets]\ncall_ms = 400\n"
        + PLUGIN_ENTRY.format(path="p.star")
        + f'on_failure = "{default}"\n',
    )


def test_a_keyed_call_sent_again_while_its_hook_times_out_keeps_its_key(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n    if r['id'].endswith('2'):\n" + SLOW_IF_BODY)
    run(
        tmp_path,
        """
        send c1 call 1 harvest-log body=x token=k1
        expect h1 request body=x op=k1
        close h1
        send c1 call 2 harvest-log body=x token=k1
        expect h1 request op=k1
        send h1 ok body=y
        expect h1 request op=k1
        send h1 ok body=y""",
        operator=PLUGIN_ENTRY.format(path="p.star"),
    )


ADVICE_CASES = [
    ("{'avoid': ['host:h1']}", "h2", ""),
    ("{'prefer': ['host:h2'], 'avoid': ['host:h1']}", "h2", ""),
    ("{'avoid': ['host:h2']}", "h1", ""),
    ("{'prefer': ['host:h1'], 'avoid': ['host:h2']}", "h1", ""),
    # a preferred host that drains or has left: the other one is used
    ("{'prefer': ['host:h1']}", "h2", "send bus leaving h1\nwait list"),
    ("{'prefer': ['host:h1']}", "h2", "send bus left h1\nwait list"),
]


@pytest.mark.parametrize(("advice", "host", "before"), ADVICE_CASES)
def test_advice_on_hosts_is_weighed_and_never_leads_to_one_that_drains(
    advice: str, host: str, before: str, tmp_path: Path
) -> None:
    (tmp_path / "p.star").write_text(f"def on_request(r):\n    return {advice}\n")
    prelude = "expect bus from 1\n" + before + "\n" if before else ""
    run(
        tmp_path,
        prelude
        + f"""
        send c1 call 1 weight-read body=x
        expect {host} request body=x
        send {host} miss
        expect {host} hold asset={FUNCTION}
        send {host} ok of=hold pods=1
        expect {host} request body=x
        send {host} ok body=y
        expect c1 1 result y""",
        hosts=2,
        operator=PLUGIN_ENTRY.format(path="p.star"),
    )


def test_a_body_is_seen_only_where_it_is_asked_for_and_granted(tmp_path: Path) -> None:
    folder = tmp_path / "plug"
    folder.mkdir()
    (folder / "p.star").write_text(REFUSING_PLUGIN.format("r.get('body') == 'x'"))
    (folder / "plugin.toml").write_text(
        'name = "reads"\nversion = "1"\nengine = "starlark"\nfile = "p.star"\ncapabilities = ["body"]\n'
    )
    run(tmp_path, SERVED_CALL, operator=PLUGIN_ENTRY.format(path="plug"))
    run(
        tmp_path,
        SEND_CALL + "expect c1 1 error -32050",
        operator=PLUGIN_ENTRY.format(path="plug") + 'grants = ["body"]\n',
    )


def test_two_plugins_are_asked_in_order_and_a_refusal_ends_it(tmp_path: Path) -> None:
    (tmp_path / "a.star").write_text(REFUSING_PLUGIN.format("r['class'] == 'weight-read'"))
    (tmp_path / "b.star").write_text("def on_request(r):\n    log('asked for ' + r['class'])\n")
    log = run(
        tmp_path,
        SEND_CALL
        + """expect c1 1 error -32050
        send c1 call 2 harvest-log body=x token=k
        expect h1 request body=x
        send h1 ok body=y
        expect c1 2 result y
        wait asked for harvest-log""",
        operator=PLUGIN_ENTRY.format(path="a.star") + PLUGIN_ENTRY.format(path="b.star"),
    )
    assert "asked for weight-read" not in log


def test_consecutive_wrong_answers_open_the_breaker(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n    return [1, 2]\n")
    figures = bench.play(str(tmp_path / "p.star"), 20, seed=1)
    assert figures["state"] == "open" and figures["declined"]["out"] == 15 and figures["answered"] == 20


def test_a_gate_that_fails_lets_every_call_go_on_without_advice(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n    return 'refuse'\n")
    limits, log = Limits(), bench.SilentLog()
    core = bench.AcceptingCore(limits, log)
    gate = PluginGate(bench.settings_for(str(tmp_path / "p.star")), bench.SETTINGS, core, limits, log)
    core.set_gate(gate)
    gate.load_all()

    def raise_error(m: object) -> None:
        raise RuntimeError("a fault of the gate's own")

    gate.hook_ended = raise_error  # type: ignore[method-assign]
    gate.start()
    callers, rng = [bench.AnswerCounter() for _ in range(30)], random.Random(1)
    for caller in callers:
        core.offer(bench.synthetic_call(rng, now_ms()), caller)
        gevent.sleep(0.002)
    assert all(caller.done.wait(5) for caller in callers)
    assert [caller.answers for caller in callers] == [1] * 30 and gate.finished
    assert log.totals["greenlet-died"] == 1


def test_a_plugin_sees_only_the_calls_it_is_bound_to(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n    return 'refuse'\n")
    run(
        tmp_path,
        """
        send c1 call 1 weight-read body=x
        expect h1 request body=x
        send h1 ok body=y
        expect c1 1 result y
        send c1 call 2 harvest-log body=x token=k
        expect c1 2 error -32050""",
        operator=PLUGIN_ENTRY.format(path="p.star") + 'classes = ["harvest-log"]\ntenants = ["coop-kef"]\n',
    )


def test_mqtt_triggers_pass_the_same_gate(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text(
        REFUSING_PLUGIN.format("r['front'] == 'mqtt' and 'harvest' in r['topic']")
    )
    run(
        tmp_path,
        f"""
        send broker hives/coop-kef/harvest/{FUNCTION} {READING} response=a
        expect broker refused to=a
        expect broker acked 1""",
        operator=TEMPLATE + PLUGIN_ENTRY.format(path="p.star") + 'fronts = ["mqtt"]\n',
    )


def scene_with(tmp_path: Path, text: str, more: str = QUICK_SWAPS) -> tuple[Scene, str]:
    """Start an invoker with one plug-in and the operators' HTTP interface."""
    ops = free_address()
    (tmp_path / "p.star").write_text(text)
    return Scene(
        tmp_path, operator=more + PLUGIN_ENTRY.format(path="p.star") + f'[ops]\nlisten = "{ops}"\n'
    ), ops


def plugins_status(scene: Scene, ops: str) -> dict[str, Any]:
    scene.get(ops, "GET", "/plugins", "200")
    status: dict[str, Any] = json.loads(scene.bodies["/plugins"])
    return status


def first_plugin(scene: Scene, ops: str) -> dict[str, Any]:
    plugin: dict[str, Any] = plugins_status(scene, ops)["plugins"][0]
    return plugin


def wait_until(condition: Any, seconds: float = 15.0) -> None:
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition did not come true in time"
        time.sleep(0.02)


def test_swaps_under_calls_lose_nothing_and_keep_each_call_on_its_version(tmp_path: Path) -> None:
    scene, ops = scene_with(tmp_path, VERSION.format(n=0))
    try:
        scene.play("send c1 call 1 weight-read body=x\nexpect h1 request body=x")
        for n in range(1, 4):  # the first call stays in flight over all of them
            (tmp_path / "p.star").write_text(VERSION.format(n=n))
            scene.play("send node HUP")
            wait_until(lambda n=n: first_plugin(scene, ops)["serving"] == str(n + 1))
            scene.play(f"""send c1 call {n + 1} weight-read body=b{n}
                expect h1 request body=b{n}
                send h1 ok body=y
                expect c1 {n + 1} result y""")
        # the first version waits for the outcome of its call
        wait_until(lambda: first_plugin(scene, ops)["versions"]["1"]["stage"] == "retired")
        scene.parties["h1"].last_ids[65] = 1
        scene.play("send h1 ok body=y\nexpect c1 1 result y")
        wait_until(lambda: "1" not in first_plugin(scene, ops)["versions"])
        assert all(not v["faults"] for v in first_plugin(scene, ops)["versions"].values())
    finally:
        assert "another version" not in scene.end()


COUNTING_PLUGIN = """def on_request(r):
    n = int(state_get('n') or '0') + 1
    state_put('n', str(n))
    return {'label': 'n' + str(n)}
"""


@pytest.mark.parametrize(
    ("code", "outcome", "serving"),
    [
        ("def on_request(", "stays", "1"),
        ("for i in range(1000000000):\n    for j in range(1000000000):\n        pass\n", "timeout", "1"),
        ("def on_request(r):\n    fail('no')\n", "trial calls", "1"),
        (COUNTING_PLUGIN + "# newer\n", "in service", "2"),
    ],
)
def test_a_swap_ends_in_a_stated_version(code: str, outcome: str, serving: str, tmp_path: Path) -> None:
    """Files that can't be loaded, fail on trial, or serve; the state is kept over the swap."""
    swap_settings = QUICK_SWAPS.replace("trial_calls = 2", "trial_calls = 6").replace(
        "trial_s = 0.1", "trial_s = 20"
    )
    scene, ops = scene_with(tmp_path, COUNTING_PLUGIN, swap_settings + "[plugins.budgets]\nload_ms = 1500\n")
    try:
        scene.play(SERVED_CALL)
        (tmp_path / "p.star").write_text(code)
        scene.get(ops, "POST", "/plugins/swap?name=p", "202")
        wait_until(
            lambda: outcome in first_plugin(scene, ops)["last_swap"]
            or "2" in first_plugin(scene, ops)["versions"]
        )
        for n in range(2, 12):
            scene.play(served_call(n))
        wait_until(lambda: outcome in first_plugin(scene, ops)["last_swap"])
        scene.play(served_call(20))
        status = plugins_status(scene, ops)
        assert status["plugins"][0]["serving"] == serving
        assert "n12" in status["labels"] and sum(status["by_default"].values()) == 0
        scene.get(ops, "POST", "/plugins/swap?name=other", "404")
    finally:
        scene.end()


def test_a_failed_carry_over_keeps_the_old_version_and_a_good_one_brings_the_state(tmp_path: Path) -> None:
    folder = tmp_path / "plug"
    folder.mkdir()

    def write(version: int, code: str) -> None:
        (folder / "p.star").write_text(code)
        (folder / "plugin.toml").write_text(
            f'name = "keeps"\nversion = "{version}"\nengine = "starlark"\nfile = "p.star"\n'
            f'capabilities = ["state"]\nstate_layout = {version}\n'
        )

    ops = free_address()
    write(1, COUNTING_PLUGIN)
    scene = Scene(
        tmp_path, operator=QUICK_SWAPS + PLUGIN_ENTRY.format(path="plug") + f'[ops]\nlisten = "{ops}"\n'
    )
    try:
        scene.play(SERVED_CALL)
        for code, words in (
            ("", "no carry hook"),
            ("def carry(layout):\n    fail('broken')\n", "broken"),
            ("def carry(layout):\n" + ENDLESS_HOOK_BODY, "timeout"),
        ):
            write(2, COUNTING_PLUGIN + code)
            scene.play("send node HUP")
            wait_until(lambda words=words: words in first_plugin(scene, ops)["last_swap"])
            assert first_plugin(scene, ops)["serving"] == "1"
        newer = COUNTING_PLUGIN.replace("_get('n'", "_get('m'").replace("_put('n'", "_put('m'")
        write(3, newer + "def carry(layout):\n    state_put('m', state_get('n') + '0')\n")
        scene.play("send node HUP")
        wait_until(lambda: "in service" in first_plugin(scene, ops)["last_swap"])
        scene.play(served_call(2))
    finally:
        scene.end()


def test_a_killed_engine_costs_no_call_its_answer_and_comes_back_with_its_state(tmp_path: Path) -> None:
    scene, ops = scene_with(tmp_path, COUNTING_PLUGIN)
    try:
        scene.play(SERVED_CALL)
        for n in range(2, 5):
            (worker,) = child_pids(scene.process.pid)
            os.kill(worker, signal.SIGKILL)
            scene.play(served_call(n))
            wait_until(lambda n=n: first_plugin(scene, ops)["versions"]["1"]["starts"] == n)
        time.sleep(0.3)
        scene.play(served_call(9))
        assert plugins_status(scene, ops)["by_default"]["killed"] == 3
    finally:
        scene.end()


def test_a_plugin_that_used_up_its_time_share_is_not_asked_and_can_be_swapped(tmp_path: Path) -> None:
    slow = "def on_request(r):\n    x = 0\n    for i in range(300000):\n        x = x + i\n"
    more = QUICK_SWAPS + "[plugins.budgets]\ncall_ms = 2000\ntime_share = 0.001\n"
    scene, ops = scene_with(tmp_path, slow, more.replace("[plugins]", "[plugins]\nall_ms = 2000"))
    try:
        for n in range(1, 4):
            scene.play(served_call(n))
        assert plugins_status(scene, ops)["by_default"]["share-spent"] >= 1
        (tmp_path / "p.star").write_text("def on_request(r):\n    return {'label': 'new'}\n")
        scene.play("send node HUP")
        wait_until(lambda: first_plugin(scene, ops)["serving"] == "2")
        scene.play(served_call(9))
        assert plugins_status(scene, ops)["labels"] == {"new": {"served": 1}}
    finally:
        scene.end()


@pytest.mark.parametrize("hook", ["on_timer()", "on_hosts(hosts)", "on_outcome(r, o)"])
def test_an_endless_loop_in_a_watching_hook_costs_no_call_its_answer(hook: str, tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text(
        f"def on_request(r):\n    return None\ndef {hook}:\n" + ENDLESS_HOOK_BODY
    )
    scene, _ = scene_with(tmp_path, (tmp_path / "p.star").read_text())
    try:
        scene.play(SERVED_CALL + "\nwait plugin-failed")
        scene.play(served_call(2))
    finally:
        scene.end()


def test_an_engine_killed_in_the_middle_of_a_hook_leaves_the_default(tmp_path: Path) -> None:
    more = "[plugins]\nall_ms = 3000\n[plugins.budgets]\ncall_ms = 2000\n"
    scene, ops = scene_with(tmp_path, "def on_request(r):\n" + ENDLESS_HOOK_BODY, more)
    try:
        scene.play("send c1 call 1 weight-read body=x budget=4000")
        wait_until(lambda: plugins_status(scene, ops)["open"] == 1)
        (worker,) = child_pids(scene.process.pid)
        os.kill(worker, signal.SIGKILL)
        scene.play("expect h1 request body=x\nsend h1 ok body=y\nexpect c1 1 result y")
        assert plugins_status(scene, ops)["by_default"] == {"killed": 1}
    finally:
        scene.end()


def test_a_process_of_a_plugin_ends_with_its_invoker_even_in_a_loop(tmp_path: Path) -> None:
    (tmp_path / "p.star").write_text("def on_request(r):\n" + ENDLESS_HOOK_BODY)
    scene = Scene(
        tmp_path, operator="[plugins.budgets]\ncall_ms = 2000\n" + PLUGIN_ENTRY.format(path="p.star")
    )
    (worker,) = child_pids(scene.process.pid)
    scene.play(SEND_CALL)
    scene.process.kill()
    scene.end()
    status = Path(f"/proc/{worker}/status")
    wait_until(lambda: not status.exists() or "Z (zombie)" in status.read_text())


def plugin_command(*arguments: str, exit_code: int = 0) -> str:
    done = subprocess.run(
        [sys.executable, "-m", "harrieryoke", "plugin", *arguments],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    assert done.returncode == exit_code, done.stdout + done.stderr
    assert "Traceback" not in done.stderr
    return done.stdout + done.stderr


def test_authors_make_check_run_sign_and_verify(tmp_path: Path) -> None:
    folder, private = str(tmp_path / "mine"), str(tmp_path / "key")
    plugin_command("new", folder, "--engine", "wasm")
    assert json.loads(plugin_command("check", folder, "--json"))["hooks"] == ["on_request"]
    figures = json.loads(plugin_command("run", folder, "--calls", "20", "--seed", "2", "--json"))
    wanted = "calls answered by_default faults p50_us p99_us max_ms peak_mb state"
    assert set(wanted.split()) <= set(figures)
    assert figures["answered"] == 20 and figures["by_default"] == 0
    public = (
        plugin_command("sign", folder, "--key", "ops", "--private", private).split('key = "')[1].split('"')[0]
    )
    assert "signed by ops" in plugin_command("verify", folder, "--key", f"ops={public}")
    assert "'ops', which is not trusted" in plugin_command(
        "verify", folder, "--key", f"eve={public}", exit_code=2
    )
    other = plugin_command("sign", str(tmp_path / "mine"), "--key", "ops", "--private", str(tmp_path / "k2"))
    assert "key 'ops' is wrong" in plugin_command(
        "verify", folder, "--key", f"ops={public}", exit_code=2
    ), other
    plugin_command("sign", folder, "--key", "ops", "--private", private, "--days", "-1")
    assert "has expired" in plugin_command("verify", folder, "--key", f"ops={public}", exit_code=2)
    assert "no such file" in plugin_command("run", str(tmp_path / "nothing"), exit_code=2)
    (tmp_path / "x.txt").write_text("x")
    assert "is wanted" in plugin_command("run", str(tmp_path / "x.txt"), exit_code=2)
    assert "'lua'" in plugin_command("new", str(tmp_path / "l"), "--engine", "lua", exit_code=2)


def test_a_changed_file_no_longer_has_its_signature(tmp_path: Path) -> None:
    folder = tmp_path / "mine"
    plugin_command("new", str(folder))
    out = plugin_command("sign", str(folder), "--key", "ops", "--private", str(tmp_path / "key"))
    trusted = f'[[plugins.trusted]]\nname = "ops"\nkey = "{out.split(chr(34))[3]}"\n'
    signed_settings = '[plugins]\nsigned = "required"\n' + trusted + PLUGIN_ENTRY.format(path="mine")
    run(tmp_path, SERVED_CALL, operator=signed_settings)
    (folder / "plugin.star").write_text("def on_request(r):\n    return 'refuse'\n")
    package = read_package(str(folder))
    with pytest.raises(PluginError, match="the key 'eve'|'ops', which is not trusted"):
        verify(package, "required", [], 0.0)
    with pytest.raises(AssertionError, match="never logged"):
        run(tmp_path, SERVED_CALL, operator=signed_settings)  # the invoker does not start
    assert "the key 'ops' is wrong" in (tmp_path / "log").read_text()


def test_the_examples_in_the_repository_work() -> None:
    for name in ("quiet-hours", "home-hall"):
        figures = json.loads(
            plugin_command("run", str(ROOT / "deploy" / "plugins" / name), "--calls", "50", "--json")
        )
        assert figures["answered"] == 50 and figures["by_default"] == 0 and not figures["faults"], figures


def test_a_start_without_operator_file_imports_no_optional_part() -> None:
    wanted = (
        "wasmtime",
        "starlark",
        "typer",
        "click",
        "paho",
        "cryptography",
        "hdrh",
        "jsonschema",
        "http.client",
        "harrieryoke.plugins",
        "harrieryoke.operator_file",
        "harrieryoke.mqtt",
        "harrieryoke.lab",
        "harrieryoke.cli",
        "harrieryoke.ops",
        "argparse",
    )
    script = "import sys, harrieryoke.serve; print([m for m in sys.modules if m in sys.argv[1:]])"
    done = subprocess.run(
        [sys.executable, "-c", script, *wanted], capture_output=True, text=True, cwd=ROOT, check=True
    )
    assert done.stdout.strip() == "[]"
