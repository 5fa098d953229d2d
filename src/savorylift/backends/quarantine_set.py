"""The quarantines in force, found by the traits of a request."""

import collections
from collections.abc import Iterable, Iterator

from savorylift.backends.quarantine import Quarantine, QuarantinedTraits
from savorylift.backends.traits import Traits


class QuarantineSet:
    """Quarantines, at most one for the same traits.

    A request falls under a quarantine if it has all of its traits. Each
    quarantine is filed under one of them, so that only those that share this
    trait with a request are compared with it.
    """

    def __init__(self) -> None:
        """Creates an empty set."""
        self._by_traits: dict[QuarantinedTraits, Quarantine] = {}
        self._key_by_traits: dict[QuarantinedTraits, str] = {}
        self._filed_by_key: dict[str, list[QuarantinedTraits]] = {}
        # Number of quarantines that have each trait.
        self._counts: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        """Returns the number of quarantines."""
        return len(self._by_traits)

    def __iter__(self) -> Iterator[Quarantine]:
        """Yields all quarantines, in the order in which they were added."""
        return iter(tuple(self._by_traits.values()))

    def get(self, traits: QuarantinedTraits) -> Quarantine | None:
        """Returns the quarantine for exactly these traits, if there is one."""
        return self._by_traits.get(traits)

    def put(self, quarantine: Quarantine) -> None:
        """Adds a quarantine, or replaces the one for the same traits."""
        traits = quarantine.traits
        if traits not in self._by_traits:
            self._file(traits)
        self._by_traits[traits] = quarantine

    def remove(self, traits: QuarantinedTraits) -> None:
        """Removes the quarantine for exactly these traits."""
        del self._by_traits[traits]
        key = self._key_by_traits.pop(traits)
        self._filed_by_key[key].remove(traits)
        if not self._filed_by_key[key]:
            del self._filed_by_key[key]
        self._counts.subtract(traits)
        for trait in traits:
            if not self._counts[trait]:
                del self._counts[trait]

    def has_any_trait(self, traits: Iterable[str]) -> bool:
        """Whether some quarantine has at least one of these traits."""
        return any(trait in self._counts for trait in traits)

    def matching(self, traits: Traits) -> Iterator[Quarantine]:
        """Yields the quarantines that a request with these traits is under."""
        for trait in dict.fromkeys(traits):
            for filed in self._filed_by_key.get(trait, ()):
                if filed.issubset(traits):
                    yield self._by_traits[filed]

    def _file(self, traits: QuarantinedTraits) -> None:
        """Files traits under the one that fewest are filed under."""

        def filed_count(trait: str) -> tuple[int, str]:
            return len(self._filed_by_key.get(trait, ())), trait

        key = min(traits, key=filed_count)
        self._key_by_traits[traits] = key
        self._filed_by_key.setdefault(key, []).append(traits)
        self._counts.update(traits)
