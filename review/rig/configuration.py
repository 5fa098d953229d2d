"""A configuration as the operator writes it, like those of the sheets."""

from review.rig.client import HOST, KEY

# Figures of the sheet of ajloun-rota.
BOUNDS: dict[str, float] = {
    "gracePeriodS": 8,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 58,
    "ttl_max_s": 5,
}
DRAIN_S = 2.0


def route(
    name: str, kind: str, service: str, **more: object
) -> dict[str, object]:
    """Returns a route; `more` replaces its fields."""
    fields: dict[str, object] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 3000,
        "targetLatencyMs": 400,
        "priority": 2,
        "maxAttempts": 2 if kind == "safe" else 1,
        "public": False,
        "streamResumption": False,
    }
    return fields | more


def stream_route(name: str, **more: object) -> dict[str, object]:
    """Returns the route of a stream that may be resumed."""
    figures = {
        "timeoutMs": 39000,
        "targetLatencyMs": 1800,
        "gapAimMs": 180,
        "sessionAffinity": True,
        "streamResumption": True,
        "maxAttempts": 2,
    }
    return route(name, "streaming", "savory-pool", **(figures | more))


def configuration(
    routes: list[dict[str, object]], max_body_bytes: int = 4_194_304
) -> dict[str, object]:
    """Returns a configuration with the two services of the sheets."""
    engine = {
        "slots": 64,
        "kvCapacity": 34415,
        "kvTokenBytes": 35136,
        "linkMbps": 5100.0,
        "stride": 4,
    }
    return {
        "version": 1,
        "routes": routes,
        "services": [
            {"name": "crew-app", "healthPath": "/health"},
            {"name": "savory-pool", "healthPath": "/health", "engine": engine},
        ],
        "tenants": [{"name": "huka270", "apiKeys": [KEY]}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 10000,
        },
    }
