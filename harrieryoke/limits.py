"""Resource limits and timeouts of the invoker."""

from __future__ import annotations

from dataclasses import dataclass

PROCESS_MB = 24  # resident after the start, before anybody has connected
WORKING_MB = 3  # that the process grows by at first use, whoever uses it
MIN_BUDGET_BYTES = 2**20  # below it nobody could be served
MARGIN_SHARE = 0.04  # of the memory, for what grows between two measurements
RECEIVE_BUFFERS_SHARE, SEND_BUFFERS_SHARE = 1 / 12, 1 / 24  # of the budget, for the usual number of clients
MIN_RECEIVE_BUFFER_BYTES = 2304  # Linux has no smaller ones; those of waiting connections fill up
MIN_SEND_BUFFER_BYTES, MAX_SOCKET_BUFFER_BYTES = 4 * 1024, 16 * 1024
HOST_BUFFER_SHARE = 1 / 64  # of the budget, for one link to a model host
MIN_HOST_BUFFER_BYTES = 32 * 1024
BACKLOG_ENTRY_BYTES = 128 * 1024  # of the budget, for each connection that may wait in the backlog
MIN_BACKLOG, MAX_BACKLOG = 256, 512
BACKLOG_SHARE = 1 / 3  # of the budget, that the buffers of these connections may take


@dataclass(slots=True)
class Limits:
    """Limits from the platform's configuration and the operator's file.

    Only the service changes them, when SIGHUP brings other ceilings. Times are milliseconds.
    """

    sockets: int = 1024
    memory_mb: int = 192
    body_bytes: int = 16 * 1024  # body of a request
    answer_bytes: int = 256 * 1024  # a model host's answer, which may be longer than a request
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
    start_ms: float = 20000.0  # at startup, until local errors such as a lack of sockets are gone
    link_idle_ms: float = 30000.0
    timer_slack_ms: float = 5.0
    answer_margin_ms: float = 8.0
    bus_dial_ms: float = 500.0
    bus_quiet_ms: float = 2000.0  # between complete lines; heartbeats come every second
    bus_line_ms: float = 4000.0  # from the first byte of a line to its last; lists may be large
    # After this time the bus has sent its backlog: if the number it names is still lower than the last event
    # received, it has restarted its numbering.
    bus_anew_ms: float = 7000.0
    bus_lag_ms: float = 2000.0  # a connection whose heartbeats may lag by more is replaced
    bus_backoff_ms: float = 50.0
    bus_backoff_most_ms: float = 250.0
    stop_accepting_ms: float = 650.0
    stop_within_ms: float = 3500.0
    handover_ms: float = 1000.0
    carry_ms: float = 400.0
    upgrade_links: int = 4
    handover_bytes: int = 8 * 1024 * 1024
    handover_line_bytes: int = 256 * 1024  # of the lines that a handover is split into
    body_share: float = 0.15  # share of memory_mb for the bodies of open requests
    log_lines_per_s: int = 20
    keys: int = 50000
    management_callers: int = 32
    management_line_bytes: int = 1024
    management_ms: float = 4500.0  # whole duration of a caller's connection
    ban_ms: float = 700.0  # a management call waits at most this long for the worker list actor
    ids_remembered: int = 8192  # model hosts whose last list entry is kept, including those that left
    figures_ms: float = 400.0  # maximum age of gauges that are computed on demand
    recount_ms: float = 100.0  # minimum time between two computations of them
    class_slots: int = 1024  # class definitions since startup; each keeps its index
    function_share: float = (
        0.125  # share of the memory beyond the bare process for what is known of functions
    )

    def spare_bytes(self) -> int:
        """Return the memory beyond what the bare process needs, or a little where there is none."""
        return max(self.memory_mb - PROCESS_MB, 1) * 2**20

    def function_bytes(self) -> float:
        """Return the memory for what the router remembers of functions."""
        return self.function_share * self.spare_bytes()

    def budget_bytes(self, process_bytes: int = PROCESS_MB * 2**20) -> int:
        """Return the memory that others may make the process hold, beside a process of that size."""
        margin = max(self.function_bytes(), MARGIN_SHARE * self.memory_mb * 2**20)
        fixed = process_bytes + WORKING_MB * 2**20 + margin
        return int(max(self.memory_mb * 2**20 - fixed, MIN_BUDGET_BYTES))

    def receive_buffer_bytes(self) -> int:
        """Return the size of a client's receive buffer; the kernel takes up to twice that."""
        return self.socket_buffer_bytes(RECEIVE_BUFFERS_SHARE, MIN_RECEIVE_BUFFER_BYTES)

    def send_buffer_bytes(self) -> int:
        """Return the size of a client's send buffer; the kernel takes up to twice that."""
        return self.socket_buffer_bytes(SEND_BUFFERS_SHARE, MIN_SEND_BUFFER_BYTES)

    def host_buffer_bytes(self) -> int:
        """Return the size of the receive buffer of a link to a model host; the kernel may double it."""
        size = int(self.budget_bytes() * HOST_BUFFER_SHARE)
        return min(max(size, MIN_HOST_BUFFER_BYTES), self.answer_bytes)

    def socket_buffer_bytes(self, share: float, minimum: int) -> int:
        """Return the size of one buffer if the usual number of clients may have that share of the budget."""
        size = int(self.budget_bytes() * share / max(1, self.sockets // 3))
        return min(max(size, minimum), MAX_SOCKET_BUFFER_BYTES)

    def backlog_bytes(self) -> int:
        """Return what the kernel may hold for the connections that it accepts ahead of the process."""
        return 2 * self.backlog() * self.receive_buffer_bytes()

    def pending_connections(self) -> int:
        """Return how many accepted connections may wait in the process for a place."""
        return self.backlog() // 2

    def backlog(self) -> int:
        """Return how many connections the kernel accepts ahead of the process."""
        wanted = min(max(self.budget_bytes() // BACKLOG_ENTRY_BYTES, MIN_BACKLOG), MAX_BACKLOG)
        return min(wanted, int(self.budget_bytes() * BACKLOG_SHARE) // (2 * self.receive_buffer_bytes()))
