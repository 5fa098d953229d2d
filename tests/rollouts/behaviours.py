"""How servers of a version answer in plays of roll-outs."""

import random
from collections.abc import Callable
from typing import NamedTuple

from savorylift.exchange.answer_outcome import FIRST_SERVER_ERROR_STATUS

FAILED = FIRST_SERVER_ERROR_STATUS


class Answer(NamedTuple):
    """How a server answers one request."""

    status: int
    took_s: float
    is_bad: bool


class Asked(NamedTuple):
    """What a server knows as it is asked.

    Attributes:
        progress: Time since the order, as a part of that to its deadline.
        new_share: Share of the last requests that went to the new version.
        route: Name of the route.
        rng: Source of randomness.
    """

    progress: float
    new_share: float
    route: str
    rng: random.Random


Behaviour = Callable[[Asked], Answer]


def sound(asked: Asked) -> Answer:
    """Answers as the old version does."""
    took_s = asked.rng.lognormvariate(-2.5, 0.5)
    is_failure = asked.rng.random() < 0.02
    return Answer(FAILED if is_failure else 200, took_s, is_bad=False)


def failing(portion: float) -> Behaviour:
    """Returns a behaviour that fails a portion of the requests."""

    def answer(asked: Asked) -> Answer:
        found = sound(asked)
        if asked.rng.random() < portion:
            return Answer(FAILED, found.took_s, is_bad=True)
        return found

    return answer


def slow(portion: float, factor: float) -> Behaviour:
    """Returns a behaviour that takes several times as long at times."""

    def answer(asked: Asked) -> Answer:
        found = sound(asked)
        if asked.rng.random() < portion:
            return Answer(found.status, found.took_s * factor, is_bad=True)
        return found

    return answer


def when(is_bad: Callable[[Asked], bool], bad: Behaviour) -> Behaviour:
    """Returns a behaviour that is bad under a condition."""
    return lambda asked: bad(asked) if is_bad(asked) else sound(asked)
