"""Every size, count and time that bounds the invoker, in one type filled at start and handed down."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Limits:
    """Times are milliseconds. The platform's configuration and the operator's file fill this; the service
    alone changes it, where SIGHUP brings other ceilings."""

    sockets: int = 1024
    memory_mb: int = 192
    body_bytes: int = 16 * 1024  # of a request
    answer_bytes: int = 256 * 1024  # of a model host's answer, which may be longer than a request
    line_bytes: int = 64 * 1024
    header_bytes: int = 16 * 1024
    open_per_connection: int = 32
    open_calls: int = 20000
    client_mailbox: int = 64
    host_mailbox: int = 1024
    list_mailbox: int = 256
    module_mailbox: int = 16384
    streams_per_link: int = 100
    links_per_host: int = 4
    silent_ms: float = 700.0
    frame_ms: float = 400.0
    dial_ms: float = 250.0
    write_ms: float = 1000.0
    vanished_ms: float = 5000.0
    client_idle_ms: float = 5000.0
    client_ask_ms: float = 2000.0
    client_fresh_ms: float = 100.0
    sweep_ms: float = 250.0
    start_ms: float = 20000.0  # a start waits this long for sockets that the machine has not at the moment
    link_idle_ms: float = 30000.0
    timer_slack_ms: float = 5.0
    answer_margin_ms: float = 8.0
    bus_dial_ms: float = 500.0
    bus_quiet_ms: float = 2000.0  # between whole lines; heartbeats come every second
    bus_line_ms: float = 4000.0  # from the first byte of a line to its end, as lists may be large
    bus_anew_ms: float = (
        7000.0  # what the bus has to tell counts as told by then; a number still lower is a new count
    )
    bus_lag_ms: float = 2000.0  # heartbeats that may be older than this are not told from late ones any more
    bus_backoff_ms: float = 50.0
    bus_backoff_most_ms: float = 250.0
    stop_accepting_ms: float = 650.0
    stop_within_ms: float = 3500.0
    handover_ms: float = 1000.0
    carry_ms: float = 400.0
    upgrade_links: int = 4
    handover_bytes: int = 8 * 1024 * 1024
    body_share: float = 0.15  # of the memory, for the bodies of open requests
    log_lines_per_s: int = 20
    keys: int = 50000
    management_callers: int = 32
    management_line_bytes: int = 1024
    management_ms: float = 4500.0  # a caller's whole stay
    ban_ms: float = 700.0  # a call waits this long for the worker list's actor
    ids_remembered: int = 8192  # model hosts that were ever listed
    figures_ms: float = 400.0  # figures that must be looked up are no older
    recount_ms: float = 100.0  # and are looked up no more often
    class_slots: int = 1024  # definitions of classes from the start on; each keeps its place
