"""Runs the cases of an experiment, each in its own process, and combines their figures into a report."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import msgspec

NAMES = ("plugins", "door", "rounds", "ledger", "fleet")
MAX_PARALLEL_CASES = (
    2  # a case uses two or three cores (invoker, plug-in, emulation); a case of `fleet` uses all
)
MUST_BE_ZERO = ("unanswered", "doubled", "late", "orders_over_budget", "sends_after_drain")


def run_case(name: str, case: str, seed: int, seconds: float, rate: float) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="harrieryoke-lab-") as folder:
        output = Path(folder) / "figures.json"
        completed = subprocess.run(
            [
                sys.executable,
                "-B",
                "-m",
                "harrieryoke.lab.case",
                name,
                case,
                str(seed),
                str(seconds),
                str(rate),
                folder,
                str(output),
            ],
            capture_output=True,
            text=True,
            check=False,
            timeout=seconds + 600,
        )
        if completed.returncode != 0 or not output.exists():
            return {"case": case, "failed": completed.stderr[-2000:]}
        figures: dict[str, Any] = msgspec.json.decode(output.read_bytes())
        return figures


def run_rounds(seed: int, seconds: float, file: str | None) -> int:
    """Measure the CPU cost of the module actor's rounds, in this process and in simulated time."""
    from .rounds import run_case

    report = {
        "experiment": "rounds",
        "seed": seed,
        "cases": [run_case(seed, seconds, rate) for rate in (150, 600)],
    }
    if file is not None:
        Path(file).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    print(msgspec.json.encode(report).decode())
    return 0


def run(
    name: str,
    seed: int,
    seconds: float,
    file: str | None,
    rate: float = 250.0,
    cases: list[str] | None = None,
) -> int:
    """Run an experiment and write its report.

    Return 0 if every case ran and violated nothing, 1 if not, and 2 for an unknown experiment.
    """
    if name not in NAMES:
        print(f"harrieryoke: lab: expected one of {', '.join(NAMES)}, not {name!r}", file=sys.stderr)
        return 2
    if name == "rounds":
        return run_rounds(seed, seconds, file)
    from . import door, fleet, ledger, plugins

    all_cases: dict[str, list[str]] = {
        "plugins": list(plugins.CASES),
        "door": list(door.CASES),
        "ledger": list(ledger.CASES),
        "fleet": list(fleet.CASES),
    }
    selected, must_be_zero = cases or all_cases[name], fleet.MUST_BE_ZERO if name == "fleet" else MUST_BE_ZERO
    with ThreadPoolExecutor(1 if name == "fleet" else MAX_PARALLEL_CASES) as pool:
        results = list(pool.map(lambda case: run_case(name, case, seed, seconds, rate), selected))
    baselines = {c["case"]: c for c in results if c["case"] in ("none", "calm-none") and "failed" not in c}
    for figures in results:
        if name != "plugins":
            continue
        baseline = baselines.get("calm-none" if figures["case"].startswith("calm-") else "none")
        if baseline is not None and "failed" not in figures:
            figures["others_vs_none"] = round(
                figures["served_share_others"] / max(1e-9, baseline["served_share_others"]), 4
            )
            figures["calls_per_s_vs_none"] = round(figures["calls_per_s"] / baseline["calls_per_s"], 3)
            figures["p99_added_ms"] = round(figures["p99_ms"] - baseline["p99_ms"], 2)
    failed_cases = [f["case"] for f in results if "failed" in f or any(f.get(key) for key in must_be_zero)]
    report = {
        "experiment": name,
        "seed": seed,
        "seconds": seconds,
        "rate": rate,
        "broken": failed_cases,
        "cases": results,
    }
    if file is not None:
        Path(file).write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    for f in results:
        summary_keys = (
            "taken",
            "answered_once",
            *must_be_zero,
            "others_vs_none",
            "hook_p99_us",
            "calls_per_s",
        )
        if name == "fleet":
            summary_keys = ("faults", *must_be_zero, *fleet.SUMMARY_KEYS)
        print(f"{f['case']:18}", f.get("failed") or " ".join(f"{k}={f.get(k, '-')}" for k in summary_keys))
    return 1 if failed_cases else 0
