"""Tests of decoders that fail in ways that nobody has foreseen."""

import pytest
from returns.result import Result, Success
from structlog.testing import capture_logs

from savorylift.backends.server import ServerEntry
from savorylift.fleet.store_records import Change
from savorylift.fleet.store_view import Decoders, StoreView
from savorylift.guarded import guard
from savorylift.platform.backend_servers import decode_server
from savorylift.platform.configuration import decode_configuration

ENTRY = (
    b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":1,'
    b'"state":"ready","sequence":1}'
)


@pytest.mark.parametrize(
    "error", [ValueError, RecursionError, OverflowError, MemoryError, KeyError]
)
def test_record_that_no_decoder_copes_with_keeps_no_other_from_its_use(
    error: type[Exception],
) -> None:
    def decode(server_id: str, value: bytes) -> Result[ServerEntry, str]:
        if server_id == "bad":
            raise error("unforeseen")
        return Success(decode_server(server_id, value).unwrap())

    view = StoreView(
        Decoders(guard(decode_configuration), guard(decode), "config", "e/")
    )
    changes = [Change("bad", ENTRY), Change("good", ENTRY)]
    with capture_logs() as logged:
        view.replace_server_records(changes, 2)
        assert list(view.registry.servers) == ["good"]
        view.apply_server_records([*changes, Change("later", ENTRY)], 5)
    assert list(view.registry.servers) == ["good", "later"]
    failed = [line for line in logged if line["event"] == "decoder_failed"]
    assert len(failed) == 2
