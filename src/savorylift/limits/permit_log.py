"""Logs of decisions on permits."""

import structlog

from savorylift.fleet.state import LimitReport
from savorylift.limits import metrics
from savorylift.limits.permit_issuer import PermitDecision

_log = structlog.get_logger()


def find_outcome(decision: PermitDecision | None) -> str:
    """Returns what became of a request for a permit."""
    if decision is None:
        return "no_reply"
    return "granted" if decision.is_granted else "denied"


def log_decision(
    request: str,
    issuer_ip: str,
    report: LimitReport,
    outcome: str,
    decision: PermitDecision | None,
    took_s: float,
) -> None:
    """Logs and counts a decision.

    Args:
        request: Identifies the request.
        issuer_ip: Address of the node that was asked.
        report: Limit of the server.
        outcome: What became of the request for a permit.
        decision: The decision; None without a reply.
        took_s: Time until it was known.
    """
    metrics.PERMITS.labels(outcome).inc()
    _log.info(
        "permit",
        request=request,
        server=report.server_id,
        outcome=outcome,
        issuer=issuer_ip,
        wait_ms=decision and round(decision.wait_s * 1000),
        took_ms=round(took_s * 1000),
        requests_per_s=report.requests_per_s,
        limit_age_s=round(report.age_s, 3),
    )
