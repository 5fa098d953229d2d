"""The load file: engines, arrivals and losses of engines to simulate.

Field names are the keys of the JSON file, so renaming a field changes the
file format.
"""

import pathlib
from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]


class Engines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The engines of the fleet, which are all alike.

    Attributes:
        count: Number of engines.
        failure_domains: Failure domains, assigned to the engines in turn.
        slots: Number of requests that an engine runs concurrently.
        memory_tokens: Capacity of an engine's KV cache in tokens.
        step_ms: Time per token while an engine runs a single request.
        crowding: Relative slowdown of a token when all slots are in use; 1
            doubles its time.
        read_tokens_per_ms: Prompt tokens that an engine prefills per
            millisecond.
        token_bytes: Size of one token in the KV cache.
        link_mbps: Bandwidth for copying a KV cache to another engine, in
            megabits per second.
    """

    count: PositiveInt = 5
    failure_domains: tuple[str, ...] = ("a", "b", "c", "d")
    slots: PositiveInt = 64
    memory_tokens: PositiveInt = 34_000
    step_ms: PositiveFloat = 7.0
    crowding: NonNegativeFloat = 1.0
    read_tokens_per_ms: PositiveFloat = 14.0
    token_bytes: PositiveFloat = 35_000.0
    link_mbps: PositiveFloat = 5100.0


class Arrivals(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Generations of one kind.

    Attributes:
        name: Name of the kind in the report.
        per_s: Mean number of arrivals per second.
        team: Team that the generations belong to.
        prompt_tokens: Tokens of each prompt.
        output_tokens: Smallest and largest output; drawn uniformly.
        objective_s: Time within which the first token is due.
        priority: Priority; 0 goes first.
        hint_error: Standard deviation of the logarithm of the callers'
            relative error in estimating the output.
        from_s: Start of the arrivals.
        to_s: End of the arrivals; the end of the workload if None.
    """

    name: str
    per_s: PositiveFloat
    team: str = ""
    prompt_tokens: PositiveInt = 3000
    output_tokens: tuple[int, int] = (200, 1800)
    objective_s: PositiveFloat = 1.8
    priority: int = 5
    hint_error: NonNegativeFloat = 0.3
    from_s: NonNegativeFloat = 0.0
    to_s: float | None = None


class Loss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The loss of one engine, drawn at random among the available ones.

    Attributes:
        at_s: Time of the notice, or of the crash.
        notice_s: Time from the notice to the loss; 0 for a crash.
        back_after_s: Time from the loss until a replacement runs.
    """

    at_s: NonNegativeFloat
    notice_s: NonNegativeFloat = 0.0
    back_after_s: PositiveFloat = 4.0


class Workload(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of a load file.

    Attributes:
        duration_s: Time during which requests arrive.
        arrivals: Kinds of generations.
        engines: The engines.
        losses: Losses of engines.
        teams: Weights of teams; 1 for teams that aren't listed.
        seed: Seed of the random number generators.
    """

    duration_s: PositiveFloat
    arrivals: tuple[Arrivals, ...]
    engines: Engines = Engines()
    losses: tuple[Loss, ...] = ()
    teams: dict[str, PositiveInt] = {}
    seed: int = 1


def read_workload(path: str) -> Result[Workload, str]:
    """Returns the content of a load file, or why it can't be read."""
    try:
        return Success(
            msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Workload)
        )
    except OSError as exc:
        return Failure(f"{path}: {(exc.strerror or 'cannot be read').lower()}")
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Failure(f"{path}: {str(exc).lower()}")
