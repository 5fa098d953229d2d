"""Traits that were quarantined or suspected before."""

from collections.abc import Container, Iterable

MAX_PAST_TRAITS = 512


class PastTraits:
    """Traits for which less evidence suffices; a bounded number of them."""

    def __init__(self) -> None:
        """Starts without traits."""
        # The latest is at the end.
        self._traits: dict[str, None] = {}

    @property
    def known(self) -> Container[str]:
        """The traits; a judgement looks up many, so without a call each."""
        return self._traits

    def add(self, traits: Iterable[str]) -> None:
        """Makes less evidence suffice for traits from now on."""
        for trait in traits:
            self._traits.pop(trait, None)
            self._traits[trait] = None
        while len(self._traits) > MAX_PAST_TRAITS:
            del self._traits[next(iter(self._traits))]

    def remove(self, traits: Iterable[str]) -> None:
        """Forgets traits that servers have survived."""
        for trait in traits:
            self._traits.pop(trait, None)
