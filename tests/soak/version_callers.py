"""Callers of streams that take them up wherever they break off."""

import asyncio
import enum
import itertools
import random
from collections.abc import Iterable
from typing import NamedTuple

from tests.front.version_fleet import Part, VersionProcessFleet, mixed
from tests.soak.shape import RESUMABLE_PATH

MAX_TAKE_UPS = 5
MAX_RETURN_S = 2.0
# Callers who come back earlier than they are told all come at once.
MAX_BEGIN_RETURN_S = 10.0
DEFAULT_RETURN_S = 0.2


class Kind(enum.StrEnum):
    """Kinds of violated guarantees.

    Attributes:
        MIXED: A stream holds events of two versions.
        UNORDERED: An event is missing, comes twice, or comes too late.
        EARLY: A stream ended as complete before its last event.
        BROKEN: A stream was not completed after the last fault.
        LOGGED: A node logged what no run may hold.
        LATE: Runs reached an engine long after it said that it leaves.
        IN_PAUSE: Requests reached an engine that wanted a pause.
    """

    MIXED = "mixed"
    UNORDERED = "out of order"
    EARLY = "too early"
    BROKEN = "broken after the faults"
    LOGGED = "logged"
    LATE = "after leaving"
    IN_PAUSE = "in a pause"


class Violation(NamedTuple):
    """A violated guarantee.

    Attributes:
        kind: Which one.
        detail: The stream, in short.
        builds: Builds of the nodes that served it, as far as it came from
            another one than this.
    """

    kind: Kind
    detail: str
    builds: frozenset[str] = frozenset()
    last_build: str = ""

    def __str__(self) -> str:
        """Returns one line."""
        builds = "".join(f" [{build}]" for build in sorted(self.builds))
        return f"{self.kind}: {self.detail}{builds}"


class StreamResult(NamedTuple):
    """What a caller got in all its attempts at one stream.

    Attributes:
        first: Attempt that began the stream.
        versions: Software version of each event.
        numbers: Number of each event.
        is_whole: Whether the stream ended as complete.
        begin_tries: Attempts that were to begin the stream.
        take_ups: Attempts that were to go on with the stream.
        gone_on: Those of them that did.
        builds: Other builds than this one of the nodes that sent events.
        last_build: Build of the node that was asked last; empty for this one.
    """

    first: str
    versions: list[str]
    numbers: list[int]
    is_whole: bool
    take_ups: int
    gone_on: int
    builds: frozenset[str] = frozenset()
    last_build: str = ""
    begin_tries: int = 1

    def violation(self, events: int) -> Violation | None:
        """Returns what is wrong with the stream, which has `events` events."""
        if mixed(self.versions):
            detail = f"{self.first} {runs(self.versions)}"
            return Violation(Kind.MIXED, detail, self.builds)
        if self.numbers != list(range(1, len(self.numbers) + 1)):
            detail = f"{self.first} {ranges(self.numbers)}"
            return Violation(Kind.UNORDERED, detail, self.builds)
        if self.is_whole and len(self.numbers) != events:
            detail = f"{self.first} ended after {len(self.numbers)} events"
            last = frozenset({self.last_build} if self.last_build else ())
            return Violation(Kind.EARLY, detail, last)
        return None


class VersionCallers:
    """Begins streams at random nodes.

    Attributes:
        twins: What callers got that took a stream up at two nodes at once,
            from the node that brought less.
    """

    def __init__(
        self,
        fleet: VersionProcessFleet,
        rng: random.Random,
        twin_share: float = 0.0,
        max_begin_tries: int = 1,
    ) -> None:
        """Begins nothing yet.

        Args:
            fleet: The nodes.
            rng: Source of all choices.
            twin_share: Share of the attempts to take a stream up that go to
                two nodes at once.
            max_begin_tries: Attempts to begin a stream, if none begins it.
        """
        self._max_begin_tries = max_begin_tries
        self._fleet = fleet
        self._rng = rng
        self._twin_share = twin_share
        self._attempts = 0
        is_resumable = fleet.path == RESUMABLE_PATH
        self._max_take_ups = MAX_TAKE_UPS if is_resumable else 0
        self.twins: list[StreamResult] = []

    async def stream(self) -> StreamResult:
        """Begins a stream, and takes it up wherever it breaks off."""
        first, part, tries = await self._begin()
        stream = _begin(first, part)._replace(begin_tries=tries)
        while stream.versions and not stream.is_whole:
            if stream.take_ups == self._max_take_ups:
                break
            await asyncio.sleep(_return_s(part))
            part = await self._take_up(stream)
            stream = _go_on(stream, part)
        return stream

    async def _begin(self) -> tuple[str, Part, int]:
        """Tries to begin a stream; returns the last try, and their number."""
        tries = 0
        while True:
            tries += 1
            first = self._next_attempt()
            part = await self._fleet.stream(self._node(), first)
            if part.versions or tries == self._max_begin_tries:
                return first, part, tries
            await asyncio.sleep(_return_s(part, MAX_BEGIN_RETURN_S))

    async def _take_up(self, stream: StreamResult) -> Part:
        if not self._twin_share or self._rng.random() >= self._twin_share:
            return await self._take_up_at(self._node(), stream)
        nodes = self._rng.sample(range(len(self._fleet.ips)), 2)
        less, more = sorted(
            await asyncio.gather(
                *(self._take_up_at(node, stream) for node in nodes)
            ),
            key=lambda part: len(part.numbers),
        )
        self.twins.append(_go_on(stream, less))
        return more

    async def _take_up_at(self, node: int, stream: StreamResult) -> Part:
        seen = Part(200, stream.versions, is_whole=False, took_s=0.0)
        return await self._fleet.take_up(
            node, self._next_attempt(), seen, stream.first
        )

    def _node(self) -> int:
        return self._rng.randrange(len(self._fleet.ips))

    def _next_attempt(self) -> str:
        self._attempts += 1
        return f"s{self._attempts}"


def runs(versions: Iterable[str]) -> str:
    """Returns versions in short, such as `v1*12 v2*48`."""
    return " ".join(
        f"{version}*{len(list(group))}"
        for version, group in itertools.groupby(versions)
    )


def ranges(numbers: Iterable[int]) -> str:
    """Returns numbers in short, such as `1-12 14-60`."""
    groups = itertools.groupby(
        enumerate(numbers), lambda pair: pair[1] - pair[0]
    )
    found = [[number for _, number in group] for _, group in groups]
    return " ".join(f"{group[0]}-{group[-1]}" for group in found)


def _begin(first: str, part: Part) -> StreamResult:
    return StreamResult(
        first,
        part.versions,
        [*part.numbers],
        _is_end(part),
        0,
        0,
        _builds(part),
        part.build,
    )


def _go_on(stream: StreamResult, part: Part) -> StreamResult:
    return StreamResult(
        stream.first,
        stream.versions + part.versions,
        [*stream.numbers, *part.numbers],
        _is_end(part),
        stream.take_ups + 1,
        stream.gone_on + bool(part.versions),
        stream.builds | _builds(part),
        part.build,
        stream.begin_tries,
    )


def _builds(part: Part) -> frozenset[str]:
    return frozenset({part.build} if part.build and part.versions else ())


def _is_end(part: Part) -> bool:
    """Whether a stream has ended, and not a refusal."""
    return part.is_whole and part.status == 200


def _return_s(part: Part, max_s: float = MAX_RETURN_S) -> float:
    return min(float(part.retry_after or DEFAULT_RETURN_S), max_s)
