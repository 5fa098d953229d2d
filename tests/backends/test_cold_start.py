"""Tests of the rate limit of cold servers where nodes outnumber it."""

import pytest

from savorylift.backends.cold_start import ColdStartLimiter

# The users judge a cold server's requests in a second with these tolerances.
TOLERANCE_FACTOR = 1.5
TOLERANCE_REQUESTS = 5


@pytest.mark.parametrize(("nodes", "per_s"), [(9, 49.0), (81, 24.0)])
def test_first_requests_of_all_nodes_do_not_exceed_a_cold_rate(
    nodes: int, per_s: float
) -> None:
    limiters = [ColdStartLimiter() for _ in range(nodes)]
    sent = 0
    for limiter in limiters:
        while limiter.may_send("i-1", per_s, nodes):
            limiter.record_request("i-1")
            sent += 1
    assert sent <= TOLERANCE_FACTOR * per_s + TOLERANCE_REQUESTS
