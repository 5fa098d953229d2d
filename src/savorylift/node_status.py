"""What `savorylift status` shows of one node."""

from collections.abc import Mapping

from savorylift.composition import Parts


def describe(parts: Parts) -> Mapping[str, object]:
    """Returns the status as values that JSON can hold."""
    views = parts.views
    rules = views.rules.current()
    peers = parts.agreement.peers.status()
    permits = parts.work.gate.status()
    return {
        "vm": parts.ref.vm,
        "incarnation": parts.ref.incarnation,
        "phase": views.state.phase.value,
        "in_flight": views.state.in_flight(),
        "rules_version": rules.version,
        "rules_offset": rules.offset,
        "out_of_service": [
            order._asdict() for order in rules.out_of_service.values()
        ],
        "members": [
            {
                "vm": member.info.ref.vm,
                "operator_address": member.info.operator_address,
                "leaving": member.leaving,
            }
            for member in views.roster.current().members.values()
        ],
        "peers": peers._asdict()
        | {"nodes": [item._asdict() for item in peers.nodes]},
        "permits": permits._asdict()
        | {"servers": [item._asdict() for item in permits.servers]},
    }
