"""Changes sound values into odd ones, the same for the same seed."""

import random
from typing import Any

NUMBERS: list[Any] = [
    0,
    1,
    -1,
    10**9,
    1 << 63,
    1 << 64,
    -(1 << 64),
    10**400,
    1e308,
    -1e308,
    float("nan"),
    float("inf"),
    float("-inf"),
]
TEXTS: list[Any] = ["", "\0", "a..b", "x" * 300, "a\r\nb", "\u540d", "9" * 5000]
OTHERS: list[Any] = [None, True, b"", b"\xff", [], {}, [[]], [None] * 3]
SIZE_CHANGE_SHARE = 0.1
SAME_TYPE_SHARE = 0.8


def mutate(value: Any, rng: random.Random) -> Any:  # noqa: ANN401
    """Returns a value with one part that is odd.

    Args:
        value: Lists, dictionaries and scalars.
        rng: Chooses the part, and what is odd about it.
    """
    if isinstance(value, dict) and value:
        key = rng.choice(list(value))
        rest = {k: v for k, v in value.items() if k != key}
        if rng.random() < SIZE_CHANGE_SHARE:
            return rest
        return rest | {key: mutate(value[key], rng)}
    if isinstance(value, list | tuple) and value:
        items = list(value)
        place = rng.randrange(len(items))
        if rng.random() < SIZE_CHANGE_SHARE:
            del items[place]
        else:
            items[place] = mutate(items[place], rng)
        return items
    return _odd_scalar(value, rng)


def _odd_scalar(value: object, rng: random.Random) -> object:
    if rng.random() < SAME_TYPE_SHARE:
        if isinstance(value, int | float):
            return rng.choice(NUMBERS)
        if isinstance(value, str):
            return rng.choice(TEXTS)
    return rng.choice(NUMBERS + TEXTS + OTHERS)


def mutate_bytes(data: bytes, rng: random.Random) -> bytes:
    """Returns bytes of which some are others, or missing."""
    changed = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        place = rng.randrange(len(changed) + 1)
        if rng.random() < SIZE_CHANGE_SHARE:
            del changed[place:]
        else:
            changed[place : place + 1] = rng.randbytes(1)
    return bytes(changed)
