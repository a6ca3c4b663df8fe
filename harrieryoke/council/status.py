"""The council's status for the operators' HTTP interface."""

from __future__ import annotations

from typing import Any

from .actor import CouncilActor


def status(actor: CouncilActor) -> dict[str, Any]:
    a, holder, duties = actor.agreement, actor.holder, actor.duties
    return {
        "member": actor.me,
        "disk_number": a.replica.disk_id,
        "role": "ended" if actor.finished else a.role.value,
        "term": a.term,
        "leader": None if a.leader is None else a.leader.name,
        "commit": a.commit_index,
        "last": a.log.last_index(),
        "durable": a.durable_index,
        "snapshot": a.snapshot.index,
        "voters": sorted(seat.name for seat in a.configuration.voters),
        "learners": sorted(seat.name for seat in a.configuration.learners),
        "silent": sorted(
            seat.name for seat in a.progress if not a.is_responsive(seat)
        ),  # known on the leader only
        "knocking": sorted(seat.name for seat in a.join_requests),
        "duties": {
            name: {
                "holder": duty.holder,
                "token": duty.token,
                "heir": duty.successor,
                "acting": actor.acting(name),
                "gone": duty.retired,
            }
            for name, duty in duties.duties.items()
        },
        "sessions": {
            member: {"open": session.open, "weight": session.weight, "cannot": session.unavailable}
            for member, session in duties.sessions.items()
        },
        "lease_ms": round(max(0.0, holder.lease_expires - actor.clock())),
        "ailing": actor.ill or actor.failing,
        "void": dict(actor.acts.rejected),
        "mailbox": {"waiting": len(actor.mailbox), "dropped": actor.dropped},
        "refused": {"count": actor.refused, "last": actor.refused_why},
    }
