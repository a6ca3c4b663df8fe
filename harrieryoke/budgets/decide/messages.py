"""Messages between an invoker and the holder of the budget duty. Any of them may be lost, repeated or
reordered."""

from __future__ import annotations

from msgspec import Struct


class SliceRequest(Struct, frozen=True, array_like=True, tag="ask"):
    """Requests a slice. `life` identifies one run of the invoker from start to exit. `number` rises with each
    new request within a life; a retry keeps it."""

    node: str
    invoker: str
    life: int
    number: int
    rate: float  # tokens per millisecond in demand for the node at this invoker
    min_amount: int  # tokens of one call: a smaller slice is useless


class SliceGranted(Struct, frozen=True, array_like=True, tag="granted"):
    """Grants a slice. `duration` counts from the time at which its request was first sent."""

    invoker: str
    life: int
    token: int  # of the granting holder, to which reports are sent
    slice_id: int
    node: str
    request_number: int
    amount: int
    spend_limit: int
    duration: int


class SliceDenied(Struct, frozen=True, array_like=True, tag="dry"):
    """Denies a request: `blocking_node` is the node on the path that has no tokens or blocks the grant, for
    the reason in `code`. The invoker may ask again after `retry_after`; `refill_after` is the time until the
    refill, 0 where there is none."""

    invoker: str
    life: int
    token: int
    node: str
    request_number: int
    blocking_node: str
    code: str
    retry_after: float
    refill_after: float


class SliceUsage(Struct, frozen=True, array_like=True):
    """Cumulative use of a slice. `spent` counts the tokens of calls with a final answer. No tokens beyond
    the first `spend_limit` were taken, or will be before a higher limit is acknowledged. `final`: nothing is
    reserved and nothing more will be taken."""

    slice_id: int
    spent: int
    spend_limit: int
    final: bool = False


class UsageReport(Struct, frozen=True, array_like=True, tag="report"):
    """Addressed to the holder of `token`; any other holder ignores it."""

    invoker: str
    life: int
    token: int
    usages: tuple[SliceUsage, ...]


class UsageAck(Struct, frozen=True, array_like=True, tag="ack"):
    """The invoker may take the first `spend_limit` tokens of the slice. `settled`: its final report is
    committed, or the slice is no longer known."""

    invoker: str
    life: int
    slice_id: int
    spend_limit: int
    settled: bool = False


HolderReply = SliceGranted | SliceDenied | UsageAck
