"""The experiment `plugins`: the same load with no, benign and hostile plug-ins, while hosts fail."""

from __future__ import annotations

import os
import random
import signal
from pathlib import Path
from typing import Any

import gevent
from gevent.event import AsyncResult

from . import audit
from .hosts import HostSettings
from .world import InvokerTestbed, child_pids

BOUND_TENANT = "tenant-b"  # the tenant whose calls the plug-ins see
LOOP_BODY = "    for i in range(1000000000):\n        for j in range(1000000000):\n            pass\n"
IDLE_HOOK = "def on_request(r):\n    return None\n"
WAT_TEMPLATE = """(module
  (import "harrieryoke" "avoid" (func $avoid (param i32 i32)))
  (import "harrieryoke" "refuse" (func $refuse (param f64)))
  (import "harrieryoke" "log" (func $log (param i32 i32)))
  (memory (export "memory") 1)
  (data (i32.const 0) "zone:zone-b")
  (data (i32.const 64) "\\ff\\fe\\fd")
  (func (export "on_request") (result i32) %s))
"""
BENIGN_BODY = "    return {'avoid': ['zone:zone-b'], 'label': r['class']}\n"
WARMING_SOURCE = (
    "def on_request(r):\n    n = int(state_get('n') or '0') + 16\n    state_put('n', str(n % 10000))\n"
    "    return {'warm': [('0000000000000000' + str(n + k))[-16:] for k in range(16)]}\n"
)
GONE_HOSTS_SOURCE = (
    "def on_hosts(hosts):\n    for h in hosts:\n        state_put('last', h['id'])\n"
    "        if h['state'] != 'active':\n            state_put('leaving', h['id'])\n"
    "    state_put('first', state_get('first') or hosts[0]['id'])\n"
    "def on_request(r):\n    return {'prefer': ['host:' + (state_get('leaving') or 'gone-long-ago'),\n"
    "                       'host:' + (state_get('first') or 'x'), 'host:no-such'],\n"
    "            'avoid': ['host:' + (state_get('last') or 'x')]}\n"
)
VERSION = (
    "VERSION = '{n}'\ndef on_request(r):\n    state_put(r['id'], VERSION)\n"
    "    return {{'label': 'swapped'}}\n"
    "def on_outcome(r, outcome):\n    if state_get(r['id']) != VERSION:\n"
    "        fail('another version began it')\n"
    "    state_put(r['id'], None)\n"
)
# case -> file extension and source of the plug-in; None: no plug-in
CASES: dict[str, tuple[str, str] | None] = {
    "none": None,
    "benign-starlark": ("star", "def on_request(r):\n" + BENIGN_BODY),
    "benign-wasm": ("wat", WAT_TEMPLATE % "(call $avoid (i32.const 0) (i32.const 11)) (i32.const 0)"),
    "loops": ("star", "def on_request(r):\n" + LOOP_BODY),
    "loops-wasm": ("wat", WAT_TEMPLATE % "(loop (br 0)) (i32.const 0)"),
    "loops-on-outcome": ("star", IDLE_HOOK + "def on_outcome(r, o):\n" + LOOP_BODY),
    "loops-on-hosts": ("star", IDLE_HOOK + "def on_hosts(hosts):\n" + LOOP_BODY),
    "loops-on-timer": ("star", IDLE_HOOK + "def on_timer():\n" + LOOP_BODY),
    "allocates": (
        "star",
        "def on_request(r):\n    s = 'x'\n    for i in range(33):\n        s = s + s\n    return s\n",
    ),
    "wrong-type": ("star", "def on_request(r):\n    return [1, 2]\n"),
    "huge": ("star", "def on_request(r):\n    return {'label': 'x' * 1000000}\n"),
    "nan": ("wat", WAT_TEMPLATE % "(call $refuse (f64.const nan)) (i32.const 1)"),
    "not-text": ("wat", WAT_TEMPLATE % "(call $log (i32.const 64) (i32.const 3)) (i32.const 0)"),
    "raises": ("star", "def on_request(r):\n    fail('always')\n"),
    "recurses": ("star", "def on_request(r):\n    return on_request(r)\n"),
    "floods-calls": ("star", "def on_request(r):\n    for i in range(1000000):\n        state_get('x')\n"),
    "floods-log": ("star", "def on_request(r):\n    for i in range(200):\n        log('x' * 10000)\n"),
    "avoids-all": ("star", "def on_request(r):\n    return {'avoid': ['zone:zone-a', 'zone:zone-b']}\n"),
    "prefers-gone": ("star", GONE_HOSTS_SOURCE),
    "warms-10000": ("star", WARMING_SOURCE),
    "refuses-all": ("star", "def on_request(r):\n    return 'refuse'\n"),
    "other-tenant": ("star", "def on_request(r):\n    return {'tenant': 'tenant-a', 'refuse_ms': 1}\n"),
    "killed": ("star", "def on_request(r):\n" + BENIGN_BODY),
    "calm-none": None,
    "calm-wasm": ("wat", WAT_TEMPLATE % "(call $avoid (i32.const 0) (i32.const 11)) (i32.const 0)"),
    "calm-starlark": ("star", "def on_request(r):\n" + BENIGN_BODY),
    "swapped-200": ("star", VERSION.format(n=0)),
}


CALM_CALLS_PER_S = 500.0  # in the calm cases no host fails and the plug-in sees every call


def operator_file(file: str | None, prefix: str = "", tenants: bool = True) -> str:
    if file is None:
        return prefix
    binding = f'tenants = ["{BOUND_TENANT}"]' if tenants else ""
    return f'{prefix}\n[[plugins.use]]\npath = "{file}"\n{binding}\n'


def run_case(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    """Run one case and audit it."""
    source, prefix, file = CASES[case], "", None
    if source is not None:
        file = f"lab.{source[0]}"
        (folder / file).write_text(source[1])
    if case == "swapped-200":
        prefix = "[plugins]\ntrial_calls = 3\ntrial_s = 0.05\nwatch_s = 0.05\n"
    calm = case.startswith("calm-")
    warm_up = 5000.0 if calm else 0.0  # by then all frequently called functions are loaded
    rate = CALM_CALLS_PER_S if calm else rate
    testbed = InvokerTestbed(
        folder,
        seed,
        rate,
        operator_file(file, prefix, not calm),
        host_settings=HostSettings(service_time=5, load_time=30, fixed_service_time=True) if calm else None,
    )
    swap_result: AsyncResult = AsyncResult()
    if case == "killed":
        gevent.spawn(kill_workers, testbed, 0.3, random.Random(seed))
    if case == "swapped-200":
        gevent.spawn(lambda: swap_result.set(swap_versions(testbed, folder / str(file), 200)))
    testbed.run(seconds, 0.0 if calm else 2.5)
    swap_figures = swap_result.get(timeout=300) if case == "swapped-200" else {}
    status = testbed.fetch_status()
    exit_code = testbed.close()
    figures = audit.merge_figures(
        {"case": case},
        testbed.figures(),
        {
            "served_share_others": audit.served_share(testbed.load.calls, lambda c: c.tenant != BOUND_TENANT),
            "repeats": audit.count_repeats(testbed.received),
            "exit_code": exit_code,
            "p50_ms": testbed.latency(0.5, warm_up),
            "p99_ms": testbed.latency(0.99, warm_up),
            "calls_per_s": round(1000 / max(1e-9, testbed.figures()["cpu_ms_per_call"])),
        },
        swap_figures,
    )
    for plugin in status.get("plugins") or []:
        versions = list(plugin["versions"].values())
        figures |= {
            "hook_p50_us": max(v["p50_us"] for v in versions),
            "hook_p99_us": max(v["p99_us"] for v in versions),
            "hook_calls": sum(v["calls"] for v in versions),
            "state": versions[-1]["state"],
            "put_out": sum(v["put_out"] for v in versions),
            "starts": sum(v["starts"] for v in versions),
            "faults": merge_counts([v["faults"] for v in versions]),
            "last_swap": plugin["last_swap"],
        }
    figures |= {
        "passage_p50_us": status.get("passage_p50_us"),
        "passage_p99_us": status.get("passage_p99_us"),
        "by_default": status.get("by_default"),
        "advice_dropped": status.get("advice_dropped"),
        "wishes": status.get("wishes"),
    }
    return figures


def merge_counts(counts: list[dict[str, int]]) -> dict[str, int]:
    names = {name for c in counts for name in c}
    return {name: sum(c.get(name, 0) for c in counts) for name in sorted(names)}


def kill_workers(testbed: InvokerTestbed, interval_s: float, rng: random.Random) -> None:
    """Send SIGKILL to the plug-in processes, which are the only children of the invoker, again and again."""
    while testbed.process.poll() is None:
        gevent.sleep(interval_s * rng.uniform(0.5, 1.5))
        for pid in child_pids(testbed.process.pid):
            os.kill(pid, signal.SIGKILL)


def swap_versions(testbed: InvokerTestbed, file: Path, times: int) -> dict[str, Any]:
    """Install new versions one after the other, each when the previous one serves."""
    served, faults, counted = 0, 0, set[str]()
    for n in range(1, times + 1):
        file.write_text(VERSION.format(n=n))
        testbed.process.send_signal(signal.SIGHUP)
        before = testbed.fetch_status()["plugins"][0]["serving"]
        for _ in range(200):
            gevent.sleep(0.02)
            plugin = testbed.fetch_status()["plugins"][0]
            for number, version in plugin["versions"].items():
                if number not in counted and version["stage"] in ("retired", "rejected"):
                    counted.add(number)
                    faults += sum(version["faults"].values())
            if plugin["serving"] != before:
                served += 1
                break
    return {"swaps": times, "swaps_in_service": served, "faults_of_retired": faults}
