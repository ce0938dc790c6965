"""The status of a control node as readable lines."""

from __future__ import annotations

from collections.abc import Iterable

from brackenladder.control_plane.status import ControlStatus, GatewayStatus, MemberStatus


def has_quorum(status: ControlStatus) -> bool:
    """Whether changes are acknowledged: the node knows a leader and is in contact with it."""
    return status.leader is not None and status.in_touch


def status_lines(status: ControlStatus) -> list[str]:
    """Returns the lines that `status` prints."""
    evacuated = ", ".join(status.evacuated_zones) or "none"
    lines = [
        f"asked         {status.node.address} ({status.role}, term {status.term})",
        f"leader        {_leader(status)}",
        f"voters        {_members(status.voters)}",
        f"learners      {_members(status.learners)}",
        f"log           committed {status.commit_index} of {status.last_index}, revision {status.revision}",
        f"configuration version {status.configuration_version}, evacuated zones: {evacuated}",
    ]
    if status.outgoing:
        lines.insert(3, f"outgoing      {_members(status.outgoing)}: a change of members is in progress")
    lines += [
        f"servers       {service.name}: {service.ready} ready ({service.cold} cold), "
        f"{service.draining} draining"
        for service in status.services
    ] or ["servers       none"]
    lines += [_gateway(gateway, status.revision) for gateway in status.gateways] or ["gateways      none"]
    lines += [
        f"VIOLATED      {violation.invariant}: {violation.count} times" for violation in status.violations
    ]
    if not has_quorum(status):
        lines.append("NO QUORUM     changes are not acknowledged here; traffic goes on with what is known")
    return lines


def _leader(status: ControlStatus) -> str:
    contact = (
        "contact was never made"
        if status.contact_age_ms is None
        else f"contact {status.contact_age_ms / 1000:.1f} s ago"
    )
    if status.leader is None:
        return f"none known, {contact}"
    return f"{_member(status.leader)}, {contact}"


def _members(members: Iterable[MemberStatus]) -> str:
    return ", ".join(map(_member, members)) or "none"


def _member(member: MemberStatus) -> str:
    return f"{member.address} {member.zone}".rstrip()


def _gateway(gateway: GatewayStatus, revision: int) -> str:
    if gateway.revision is None:
        revision_text = "not connected here"
    elif gateway.revision < revision:
        revision_text = f"revision {gateway.revision}, behind"
    elif gateway.revision > revision:
        revision_text = f"revision {gateway.revision}, ahead of the node asked"
    else:
        revision_text = f"revision {gateway.revision}"
    silent_s = gateway.silent_ms / 1000
    return (
        f"gateway       {gateway.node} {gateway.zone}: {gateway.state}, {revision_text},"
        f" heard {silent_s:.1f} s ago"
    )
