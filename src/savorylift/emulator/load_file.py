"""The load that is played: engines, arrivals, leavings and crashes."""

import pathlib
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

Positive = Annotated[float, msgspec.Meta(gt=0)]
Moment = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class Engines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The engines, all alike.

    Attributes:
        count: How many.
        failure_domains: They are spread over these in turn.
        slots: Requests that one runs at once.
        memory_tokens: Tokens that fit into one's memory.
        step_ms: Time of a token while an engine runs nothing else.
        crowding: How much longer a token takes when all slots are taken.
        read_tokens_per_ms: Prompt tokens read in a millisecond.
        token_bytes: Size of one token's memory.
        link_mbps: Rate at which memory is copied, in megabits a second.
    """

    count: Count = 5
    failure_domains: tuple[str, ...] = ("a", "b", "c", "d")
    slots: Count = 64
    memory_tokens: Count = 34_000
    step_ms: Positive = 7.0
    crowding: Moment = 1.0
    read_tokens_per_ms: Positive = 14.0
    token_bytes: Positive = 35_000.0
    link_mbps: Positive = 5100.0


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Generations of one kind.

    Attributes:
        name: For the report.
        per_s: Mean arrivals a second.
        team: Whose they are.
        prompt_tokens: Tokens of each prompt.
        output_tokens: Least and largest output, drawn evenly.
        objective_s: Time within which the first token is due.
        priority: Rank, 0 first.
        hint_error: Spread of the callers' estimates, as a share.
        from_s: When they begin.
        to_s: When they end; the load's end if not given.
    """

    name: str
    per_s: Positive
    team: str = ""
    prompt_tokens: Count = 3000
    output_tokens: tuple[int, int] = (200, 1800)
    objective_s: Positive = 1.8
    priority: int = 5
    hint_error: Moment = 0.3
    from_s: Moment = 0.0
    to_s: float | None = None


class Loss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One engine that is taken away, drawn among those that are there.

    Attributes:
        at_s: When it says so, or crashes.
        notice_s: Time until it is gone; 0 for a crash.
        back_after_s: Time until another one takes its place.
    """

    at_s: Moment
    notice_s: Moment = 0.0
    back_after_s: Positive = 4.0


class Load(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A load file.

    Attributes:
        duration_s: Time during which requests arrive.
        arrivals: Kinds of generations.
        engines: The engines.
        losses: Engines that are taken away.
        teams: Weights by team; 1 for others.
        seed: Seed of all that is drawn.
    """

    duration_s: Positive
    arrivals: tuple[Arrivals, ...]
    engines: Engines = Engines()
    losses: tuple[Loss, ...] = ()
    teams: dict[str, Count] = {}
    seed: int = 1


def read_load(path: str) -> Result[Load, str]:
    """Returns the load in a file, or what is wrong with it."""
    try:
        return Success(
            msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Load)
        )
    except OSError as exc:
        return Failure(f"{path}: {(exc.strerror or 'can not be read').lower()}")
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(f"{path}: {str(exc).lower()}")
