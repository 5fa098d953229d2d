"""Which VMs are leaving, and until when that is believed."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from savorylift.log_service.vms import VmEntry

MAX_INCARNATIONS = 8  # remembered per VM
CONFIRM_READS = 2  # reads in a row that must show a new incarnation live
UNKNOWN_INCARNATION = ""


class VmState(NamedTuple):
    """What is known about one VM that has been marked; sent by gossip.

    Attributes:
        vm: Name of the VM.
        current: Newest incarnation listed live; empty if none was.
        known: Incarnations in the order they were learned, newest last.
        marked: Incarnations that are leaving.
    """

    vm: str
    current: str = UNKNOWN_INCARNATION
    known: tuple[str, ...] = ()
    marked: frozenset[str] = frozenset()


class MarksView(NamedTuple):
    """Leaving VMs as request threads read them; never changed in place.

    Attributes:
        leaving: Marked incarnations by VM name.
        incarnations: Newest incarnation listed live, by VM name.
    """

    leaving: Mapping[str, frozenset[str]] = {}
    incarnations: Mapping[str, str] = {}

    def is_leaving(self, vm: str) -> bool:
        """Returns True if new work must stay away from `vm`."""
        return vm in self.leaving


class LeavingMarks:
    """Marks that last until a newer incarnation of the VM is listed live.

    The list lags and may come from an older copy. An incarnation is newer
    than a marked one if both are decimal and its number is higher, or if it
    was first learned after the marked one, by this node or a peer. Where
    the order stays unknown the mark stays.
    """

    def __init__(self) -> None:
        """Starts with no marks."""
        self._states: dict[str, VmState] = {}
        self._candidates: dict[str, tuple[str, int]] = {}
        self._has_list = False

    def view(self) -> MarksView:
        """Returns a frozen view of the present state."""
        leaving = {s.vm: s.marked for s in self._states.values() if s.marked}
        incarnations = {
            s.vm: s.current for s in self._states.values() if s.current
        }
        return MarksView(leaving, incarnations)

    def state(self, vm: str) -> VmState:
        """Returns what is known about `vm`."""
        return self._states.get(vm, VmState(vm))

    def mark(self, vm: str, incarnation: str) -> bool:
        """Marks an incarnation as leaving; an empty one is the present one.

        Returns:
            True if that changed anything.
        """
        state = self.state(vm)
        incarnation = incarnation or state.current
        if _is_over(incarnation, state):
            return False
        known = _remember(state.known, (incarnation,))
        marked = state.marked | {incarnation}
        return self._store(state._replace(known=known, marked=marked))

    def observe(self, entries: Iterable[VmEntry]) -> list[str]:
        """Takes in one read of the list; returns the VMs that changed."""
        changed = [entry.vm for entry in entries if self._observe(entry)]
        self._has_list = True
        return changed

    def merge(self, other: VmState) -> bool:
        """Takes in a peer's state; returns True if that changed anything."""
        state = self.state(other.vm)
        merged = state._replace(
            known=_merge_known(state.known, other.known),
            marked=state.marked | other.marked,
        )
        if _is_newer(other.current, state.current, other.known, state.known):
            merged = merged._replace(current=other.current)
        return self._store(_without_over(merged, other.known, state.known))

    def _observe(self, entry: VmEntry) -> bool:
        if entry.leaving:
            self._candidates.pop(entry.vm, None)
            return self.mark(entry.vm, entry.incarnation)
        state = self._learn(entry)
        if not self._may_succeed(entry.incarnation, state):
            self._candidates.pop(entry.vm, None)
            return False
        if state.marked and not self._is_confirmed(entry):
            return False
        state = state._replace(current=entry.incarnation)
        return self._store(_without_over(state, state.known))

    def _learn(self, entry: VmEntry) -> VmState:
        """Remembers the incarnation; returns the VM's state with it."""
        state = self.state(entry.vm)
        if entry.incarnation in state.known:
            return state
        if self._has_list:
            known = _remember(state.known, (entry.incarnation,))
        else:  # the first list may be older than the marks already known
            known = _remember((entry.incarnation,), state.known)
        marked = state.marked
        if UNKNOWN_INCARNATION in marked:
            marked = marked - {UNKNOWN_INCARNATION} | {entry.incarnation}
            known = tuple(i for i in known if i != UNKNOWN_INCARNATION)
        state = state._replace(known=known, marked=marked)
        self._states[entry.vm] = state
        return state

    def _may_succeed(self, incarnation: str, state: VmState) -> bool:
        if incarnation in state.marked:
            return False
        rivals = state.marked | ({state.current} if state.current else set())
        return all(
            _is_newer(incarnation, rival, state.known) for rival in rivals
        )

    def _is_confirmed(self, entry: VmEntry) -> bool:
        candidate, reads = self._candidates.get(entry.vm, ("", 0))
        reads = reads + 1 if candidate == entry.incarnation else 1
        self._candidates[entry.vm] = (entry.incarnation, reads)
        return reads >= CONFIRM_READS

    def _store(self, state: VmState) -> bool:
        before = self._states.get(state.vm)
        self._states[state.vm] = state
        return before != state


def _is_over(incarnation: str, state: VmState) -> bool:
    """Returns True if a newer incarnation has been listed live."""
    return _is_newer(state.current, incarnation, state.known)


def _without_over(state: VmState, *orders: tuple[str, ...]) -> VmState:
    """Returns the state without marks that its current incarnation ended."""
    marked = frozenset(
        incarnation
        for incarnation in state.marked
        if not _is_newer(state.current, incarnation, *orders)
    )
    return state._replace(marked=marked)


def _is_newer(new: str, old: str, *orders: tuple[str, ...]) -> bool:
    """Returns True if `new` is known to have come after `old`."""
    if not new or new == old:
        return False
    if not old:
        return True
    if _is_number(new) and _is_number(old):
        return int(new) > int(old)
    return any(
        old in order and new in order and order.index(new) > order.index(old)
        for order in orders
    )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _remember(known: tuple[str, ...], more: tuple[str, ...]) -> tuple[str, ...]:
    """Returns `known` with new incarnations at its end, oldest dropped."""
    fresh = tuple(i for i in more if i not in known)
    return (known + fresh)[-MAX_INCARNATIONS:]


def _merge_known(
    own: tuple[str, ...], other: tuple[str, ...]
) -> tuple[str, ...]:
    """Returns one order: the older knowledge of both, then the newer."""
    older = tuple(i for i in other if i not in own and _precedes(i, own, other))
    return _remember(older + own, other)


def _precedes(
    incarnation: str, own: tuple[str, ...], other: tuple[str, ...]
) -> bool:
    """Returns True if `other` has it before something that `own` knows."""
    later = other[other.index(incarnation) + 1 :]
    return any(i in own for i in later)
