"""The experiment `door`: overload by one tenant, without and with fair queues at the door."""

from __future__ import annotations

import bisect
from pathlib import Path
from typing import Any

import gevent

from ..core.clock import now_ms
from . import audit, structures
from .clients import SentCall, Tenant
from .hosts import HostSettings
from .world import TENANTS, InvokerTestbed

FLOODING_TENANT = "tenant-a"
FLOOD_FACTOR = 10.0  # multiplies the load of the flooding tenant
# case -> whether the flooding tenant is active, and the operator configuration
CASES: dict[str, tuple[bool, str]] = {
    "quiet-today": (False, ""),
    "quiet-door": (False, "[door]\n"),
    "flood-today": (True, ""),
    "flood-door": (True, "[door]\n"),
    "flood-door-hasty": (True, "[door]\n"),
    "two-floods-door": (True, "[door]\n"),
    "herd-today": (False, ""),  # 5000 clients call at once, beside a quarter of the usual load
    "herd-door": (False, "[door]\n"),
    "gone-door": (False, "[door]\n"),  # all hosts are down for 3 s and restart cold
    "clock-door": (False, "[door]\n"),  # the invoker's wall clock steps by 5 s
    "structures": (False, ""),
}
CLIENTS_PER_TENANT = 40  # client addresses per tenant
HERD_CLIENTS = 5000
MAX_RETRY_AFTER_MS = 20_000.0  # above any retry delay that the door computes, so that none is cut
HOSTS, CORES, SERVICE_MS = 4, 4, 60.0  # together they serve 266 calls per second
HOST_SETTINGS = HostSettings(service_time=SERVICE_MS, load_time=300.0, cores=CORES)


def select_tenants(flood: bool) -> list[Tenant]:
    return [
        Tenant(
            t.name,
            t.share * (FLOOD_FACTOR if flood and t.name == FLOODING_TENANT else 1.0),
            4,
            CLIENTS_PER_TENANT,
        )
        for t in TENANTS
    ]


def run_case(case: str, seed: int, seconds: float, rate: float, folder: Path) -> dict[str, Any]:
    """Run one case. `rate` is the load of all tenants without the flood, in calls per second."""
    flood, operator = CASES[case]
    if case == "structures":
        return structures.run_case(seed)
    two_floods, with_herd = case.startswith("two-"), case.startswith("herd-")
    rate *= 0.25 if with_herd else 1.0
    tenants = select_tenants(flood)
    for tenant in tenants:
        tenant.share *= 3.0 if two_floods and tenant.name == "tenant-b" else 1.0
    testbed = InvokerTestbed(
        folder,
        seed,
        rate * sum(t.share for t in tenants),
        operator,
        HOSTS,
        tenants,
        HOST_SETTINGS,
        3 * MAX_RETRY_AFTER_MS if with_herd else MAX_RETRY_AFTER_MS,
        8192 if with_herd else 1024,
    )
    testbed.load.impatient = case.endswith("-hasty")
    testbed.load.retries = not two_floods  # both tenants must be backlogged all the time
    hosts_back_at = now_ms() + 1000 * (seconds / 3 + 3.0)
    if with_herd:
        gevent.spawn_later(2.0, testbed.load.start_herd, HERD_CLIENTS, 1500.0)
    elif case.startswith("gone-"):
        gevent.spawn_later(seconds / 3, testbed.stop_all_hosts, 3.0)
    elif case.startswith("clock-"):
        gevent.spawn(testbed.step_clock, seconds / 5)
    testbed.run(seconds, 0.0)
    status = testbed.fetch_status("/door")
    exit_code = testbed.close()
    calls = testbed.load.calls
    other_calls = [c for c in calls if c.tenant != FLOODING_TENANT]
    latencies = sorted(c.answered_at - c.sent_at for c in other_calls if c.outcome == "served")
    hinted_calls, early_calls = [c for c in calls if c.followed_hint], [c for c in calls if c.returned_early]
    shares = {t.name: audit.served_share(calls_of(calls, t.name), lambda c: True) for t in TENANTS}
    figures = testbed.figures() | {
        "case": case,
        "exit_code": exit_code,
        "repeats": audit.count_repeats(testbed.received),
        "served_by_tenant": {name: round(share, 4) for name, share in shares.items()},
        "share_error_max": round(share_error(calls), 4) if two_floods else None,
        "early": len(early_calls),
        "early_gain": round(
            audit.served_share(early_calls, lambda c: True)
            - audit.served_share(hinted_calls, lambda c: True),
            4,
        )
        if early_calls and hinted_calls
        else None,
        "hint_short": round(sum(c.outcome == "refused" for c in hinted_calls) / len(hinted_calls), 4)
        if hinted_calls
        else None,
        "stayed_away": testbed.load.withheld,
        "small_tenants_served": round(audit.served_share(other_calls, lambda c: True), 4),
        "small_tenants_in_aim": round(share_within_goal(other_calls), 4),
        "small_tenants_p99_ms": round(latencies[int(0.99 * (len(latencies) - 1))], 1) if latencies else 0.0,
        "hinted": len(hinted_calls),
        "hinted_success": round(sum(c.outcome == "served" for c in hinted_calls) / len(hinted_calls), 4)
        if hinted_calls
        else None,
        "herd_peak": peak_count([c.sent_at for c in hinted_calls], 100.0),
        "back_after_s": recovery_time_s(calls, hosts_back_at) if case.startswith("gone-") else None,
        "served_at_last": round(audit.served_share(last_fifth(calls), lambda c: True), 4),
        "door": status,
    }
    return figures


def share_error(calls: list[SentCall]) -> float:
    """Return the largest deviation of a backlogged tenant's share of the service from its weight."""
    weights = {t.name: t.share for t in TENANTS if t.name in (FLOODING_TENANT, "tenant-b")}
    begin, end = calls[0].sent_at + 3000.0, calls[-1].sent_at  # while both are backlogged and send calls
    served = {
        name: sum(c.outcome == "served" and begin < c.answered_at < end for c in calls_of(calls, name))
        for name in weights
    }
    return max(
        abs(served[name] / sum(served.values()) - weight / sum(weights.values()))
        for name, weight in weights.items()
    )


def calls_of(calls: list[SentCall], tenant: str) -> list[SentCall]:
    return [c for c in calls if c.tenant == tenant]


def share_within_goal(calls: list[SentCall]) -> float:
    goals = {"sample-read": 1000.0, "sample-write": 750.0}
    within_goal = sum(
        c.outcome == "served" and c.answered_at - c.sent_at <= goals[c.class_name] for c in calls
    )
    return within_goal / len(calls) if calls else 0.0


def last_fifth(calls: list[SentCall]) -> list[SentCall]:
    """Return the calls of the last fifth of the run."""
    return [c for c in calls if c.sent_at > calls[-1].sent_at - 0.2 * (calls[-1].sent_at - calls[0].sent_at)]


def recovery_time_s(calls: list[SentCall], since: float) -> float | None:
    """Return the seconds from `since` to the first half second in which 90 % of the calls are served."""
    for half_seconds in range(60):
        begin = since + 500.0 * half_seconds
        selected = [c for c in calls if begin <= c.sent_at < begin + 500.0]
        if selected and audit.served_share(selected, lambda c: True) >= 0.9:
            return half_seconds / 2
    return None


def peak_count(times: list[float], window_ms: float) -> int:
    """Return the maximum number of events within any window of that length."""
    times = sorted(times)
    return max((bisect.bisect_right(times, at + window_ms) - n for n, at in enumerate(times)), default=0)
