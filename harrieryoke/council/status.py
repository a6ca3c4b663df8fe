"""The council's status for the operators' HTTP interface."""

from __future__ import annotations

from typing import Any

from .actor import CouncilActor


def status(actor: CouncilActor) -> dict[str, Any]:
    raft, lease_holder, duties = actor.raft, actor.lease_holder, actor.duties
    return {
        "member": actor.member,
        "disk_number": raft.replica.disk_id,
        "role": "ended" if actor.finished else raft.role.value,
        "term": raft.term,
        "leader": None if raft.leader is None else raft.leader.name,
        "commit": raft.commit_index,
        "last": raft.log.last_index(),
        "durable": raft.durable_index,
        "snapshot": raft.snapshot.index,
        "voters": sorted(replica.name for replica in raft.configuration.voters),
        "learners": sorted(replica.name for replica in raft.configuration.learners),
        "silent": sorted(
            replica.name for replica in raft.progress if not raft.is_responsive(replica)
        ),  # known on the leader only
        "knocking": sorted(replica.name for replica in raft.join_requests),
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
        "lease_ms": round(max(0.0, lease_holder.lease_expires - actor.clock())),
        "ailing": actor.unhealthy or actor.disk_error,
        "void": dict(actor.state.rejected),
        "mailbox": {"waiting": len(actor.mailbox), "dropped": actor.dropped},
        "refused": {"count": actor.refused_count, "last": actor.last_refusal},
    }
