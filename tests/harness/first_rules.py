"""The first version of the rules, put on the log without a node."""

from savorylift.identity import new_id
from savorylift.log_service.log import RULES_STREAM
from savorylift.rules.check import split_lines
from savorylift.rules.edits import hash_lines, make_edits
from savorylift.rules.messages import Edit, RecordKind, encode
from tests.harness import answers


def append_first_rules(log_url: str, text: str) -> None:
    """Appends `text` as the version that follows the empty file."""
    lines = split_lines(text)
    edit = Edit(-1, make_edits([], lines), hash_lines(lines), "harness")
    record = {
        "id": new_id("rules"),
        "kind": RecordKind.EDIT,
        "body": encode(edit),
    }
    url = f"{log_url}/v1/streams/{RULES_STREAM}/records"
    answer = answers.request("POST", url, json={"records": [record]})
    assert answer.status == 200, answer.body.decode()
