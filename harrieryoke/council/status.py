"""What the operators' HTTP tells of the council."""

from __future__ import annotations

from typing import Any

from .actor import CouncilActor


def status(actor: CouncilActor) -> dict[str, Any]:
    a, holder, duties = actor.agreement, actor.holder, actor.duties
    return {
        "member": actor.me,
        "disk_number": a.seat.disk,
        "role": "ended" if actor.finished else a.role.value,
        "term": a.term,
        "leader": None if a.leader is None else a.leader.name,
        "commit": a.commit,
        "last": a.log.last(),
        "durable": a.durable,
        "snapshot": a.snapshot.index,
        "voters": sorted(seat.name for seat in a.members.voters),
        "learners": sorted(seat.name for seat in a.members.learners),
        "silent": sorted(seat.name for seat in a.peers if not a.hears(seat)),  # only the leader knows
        "knocking": sorted(seat.name for seat in a.knocks),
        "duties": {
            name: {
                "holder": duty.holder,
                "token": duty.token,
                "heir": duty.heir,
                "acting": actor.acting(name),
                "gone": duty.gone,
            }
            for name, duty in duties.duties.items()
        },
        "sessions": {
            member: {"open": session.open, "weight": session.weight, "cannot": session.cannot}
            for member, session in duties.sessions.items()
        },
        "lease_ms": round(max(0.0, holder.until - actor.clock())),
        "ailing": actor.ill or actor.failing,
        "void": dict(actor.acts.void),
        "mailbox": {"waiting": len(actor.mailbox), "dropped": actor.dropped},
        "refused": {"count": actor.refused, "last": actor.refused_why},
    }
