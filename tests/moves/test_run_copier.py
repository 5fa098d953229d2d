"""Tests of the copies of a run's KV cache."""

import pytest

from savorylift.backends.registry import BackendServer
from savorylift.exchange.run import Run
from savorylift.moves.move_order import copy_time_s
from savorylift.moves.run_copier import (
    CONTENTION_FACTOR,
    CONTENTION_SLACK_S,
    RunCopier,
)
from tests.exchange.factories import (
    ENGINE,
    make_admitted_request,
    make_generation_request,
    make_server,
    make_server_entry,
)


@pytest.mark.parametrize("failure_domain", ["z1", "z2"])
def test_copy_is_contended_if_it_takes_longer_than_its_links_need(
    failure_domain: str,
) -> None:
    req = make_generation_request(prompt_tokens=5000)
    run = Run(make_admitted_request(req, engine=ENGINE), 6000)
    entry = make_server_entry("i-2")._replace(failure_domain=failure_domain)
    copier = RunCopier(run, make_server(), BackendServer(entry, 0.0), 0.0)
    copy_s = copy_time_s(
        run.kv_cache_tokens, ENGINE, is_cross_domain=failure_domain != "z1"
    )
    assert copy_s > 0
    alone_s = CONTENTION_FACTOR * copy_s + CONTENTION_SLACK_S
    assert not copier.is_contended(alone_s)
    assert copier.is_contended(alone_s + 0.001)


def test_copies_of_a_service_without_engines_are_never_contended() -> None:
    run = Run(make_admitted_request(), 100)
    copier = RunCopier(run, make_server(), make_server("i-2"), 0.0)
    assert not copier.is_contended(10.0)
