"""Tests of what the planner of moves does with the engines."""

from types import SimpleNamespace

from savorylift.fleet.membership import Membership
from savorylift.front.move_parts import EngineSite
from tests.exchange.factories import make_pool, make_store_view


class FakeRoom:
    """Notes what is kept for moves."""

    def __init__(self) -> None:
        """Keeps nothing."""
        self.held: dict[str, int] = {}

    def hold(self, tokens: dict[str, int]) -> None:
        """Keeps tokens instead of those before."""
        self.held = tokens


def test_what_was_kept_for_moves_leaves_nothing_behind() -> None:
    room = FakeRoom()
    keeper = SimpleNamespace(rooms_of=lambda _: {"room": room})
    rooms = SimpleNamespace(keeper=keeper)
    pool = make_pool(make_store_view(a=9))
    site = EngineSite(pool, Membership("127.0.0.1", ()), rooms)  # type: ignore[arg-type]
    site.hold("s", {"a": 100})
    assert room.held == {"a": 100}
    assert site._held == {"s": {"a": 100}}
    site.hold("s", {})
    assert room.held == {}
    assert site._held == {}
