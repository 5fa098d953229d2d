"""Judges whether a new version answers worse than the old one.

Versions may be bad from the beginning, later, under load or on one route:
so each route is judged by itself, over the whole time and over the last
slices of it.
"""

import enum
import math
from collections.abc import Iterator, Mapping
from typing import NamedTuple

from savorylift.rollouts.answer_log import PAUSE_SUFFIX
from savorylift.rollouts.durations import CLASS_COUNT, duration_class
from savorylift.rollouts.evidence import Answers, Comparison, FleetEvidence

# Windows that end now, in slices, beside the whole time.
RECENT_SLICES = (4, 2)
# Old answers that a window needs to be compared with its own time.
MIN_OLD_ANSWERS = 20
# A duration is slow if it is more than so many classes above the class that
# this share of the old ones reaches: that is 1.25 to 1.56 times as long.
USUAL_SHARE = 0.9
SLOW_MARGIN_CLASSES = 1
# Durations up to this class are never slow: callers don't notice them, and a
# busy VM takes that long at any time.
NEVER_SLOW_CLASS = duration_class(0.05)
# A finding ends a roll-out if the chance that a sound version looks as bad is
# smaller than this, its share of bad answers exceeds that of the old version by
# at least so much, and at least so many of its answers are bad.
BAD_CHANCE = 0.001
BAD_EXCESS = 0.1
MIN_BAD = 3
# The chance for the last slices: they are compared more often.
RECENT_BAD_CHANCE = 0.0003
# The same for a finding that only lets the roll-out wait.
SUSPECT_CHANCE = 0.02
SUSPECT_EXCESS = 0.08
MIN_SUSPECT = 2
# Lost answers of a single server tell of the server, not of its version.
MIN_LOSING_SERVERS = 2
# Answers of the new version that are enough to call it sound.
MIN_NEW_ANSWERS = 8
MIN_NEW_ANSWERS_PER_ROUTE = 3
# Routes with a smaller share of the old answers need none.
MIN_ROUTE_SHARE = 0.05


class Opinion(enum.Enum):
    """What the answers say of a version."""

    UNKNOWN = "unknown"
    SOUND = "sound"
    SUSPECT = "suspect"
    BAD = "bad"


class Sample(NamedTuple):
    """How many of some answers are bad."""

    bad: int
    total: int

    @property
    def share(self) -> float:
        """Share of the bad ones."""
        return self.bad / self.total if self.total else 0.0


class Finding(NamedTuple):
    """A comparison of one kind of fault.

    Attributes:
        fault: `failed`, `lost` or `slow`.
        series: Name of the series.
        new: Answers of the new version.
        old: Those of the old one.
        chance: Chance that a version like the old one has as many or more.
        is_recent: Whether it is of the last slices alone.
    """

    fault: str
    series: str
    new: Sample
    old: Sample
    chance: float
    is_recent: bool = False

    def describe(self) -> str:
        """Returns the finding for logs and records."""
        return (
            f"{self.fault} on {self.series}: new {self.new.bad}/"
            f"{self.new.total}, old {self.old.bad}/{self.old.total}, "
            f"chance {self.chance:.2g}"
        )

    @property
    def is_bad(self) -> bool:
        """Whether it shows a bad version."""
        limit = RECENT_BAD_CHANCE if self.is_recent else BAD_CHANCE
        return self._exceeds(limit, BAD_EXCESS, MIN_BAD)

    @property
    def is_suspect(self) -> bool:
        """Whether it casts doubt on the version."""
        return self._exceeds(SUSPECT_CHANCE, SUSPECT_EXCESS, MIN_SUSPECT)

    def _exceeds(self, chance: float, excess: float, min_bad: int) -> bool:
        is_worse = self.new.share - self.old.share >= excess
        return is_worse and self.new.bad >= min_bad and self.chance < chance


class Judgement(NamedTuple):
    """What the answers say of a version, and a finding that shows it.

    Attributes:
        opinion: The opinion.
        finding: One that is bad or suspect, as the opinion is; otherwise the
            least likely one, or None without any.
        new_answers: Number of answers of the new version.
        old_answers: Number of answers of the old one.
    """

    opinion: Opinion
    finding: Finding | None
    new_answers: int
    old_answers: int


def judge(evidence: FleetEvidence) -> Judgement:
    """Judges a version by all answers so far, and by the last ones."""
    whole = evidence.compare()
    findings = list(_compare(whole, whole))
    for slices in RECENT_SLICES:
        first = evidence.last_slice - slices + 1
        if first > 0:
            recent = _compare(evidence.compare(first), whole)
            findings += [f._replace(is_recent=True) for f in recent]
    worst = min(findings, key=lambda finding: finding.chance, default=None)
    routes = {
        series: pair
        for series, pair in whole.items()
        if not series.endswith(PAUSE_SUFFIX)
    }
    new = sum(pair.new.answered for pair in routes.values())
    old = sum(pair.old.answered for pair in routes.values())
    opinion = Opinion.UNKNOWN
    for finding in findings:
        if finding.is_bad:
            return Judgement(Opinion.BAD, finding, new, old)
        if finding.is_suspect:
            opinion, worst = Opinion.SUSPECT, finding
    if opinion is Opinion.UNKNOWN and _is_enough(routes, new, old):
        opinion = Opinion.SOUND
    return Judgement(opinion, worst, new, old)


def find_chance(new: Sample, old: Sample) -> float:
    """Returns Fisher's exact probability of as many bad new answers or more.

    The bad answers of both are dealt out at random over all answers.
    """
    total, bad = new.total + old.total, new.bad + old.bad
    if not new.total or not old.total or not bad:
        return 1.0
    ways = _log_ways(total, bad)
    most = min(new.total, bad)
    chance = math.fsum(
        math.exp(
            _log_ways(new.total, count)
            + _log_ways(old.total, bad - count)
            - ways
        )
        for count in range(new.bad, most + 1)
        if bad - count <= old.total
    )
    return min(chance, 1.0)


def _log_ways(total: int, chosen: int) -> float:
    """Returns the logarithm of the number of ways to choose some of all."""
    return (
        math.lgamma(total + 1)
        - math.lgamma(chosen + 1)
        - math.lgamma(total - chosen + 1)
    )


def _compare(
    window: Mapping[str, Comparison], whole: Mapping[str, Comparison]
) -> Iterator[Finding]:
    """Yields the findings of a window.

    The old version is taken over the whole time if it has answered too little
    in the window, as it does once the new one gets all requests.
    """
    for series, pair in window.items():
        if not (pair.new.answered or pair.new.cut):
            continue
        old = pair.old
        if old.answered < MIN_OLD_ANSWERS:
            old = whole[series].old
        samples = [("slow", *_slow_samples(pair.new, old))]
        if not series.endswith(PAUSE_SUFFIX):
            samples.append(("failed", _failed(pair.new), _failed(old)))
            samples.append(("lost", *_lost_samples(pair.new, old)))
        for fault, new_sample, old_sample in samples:
            chance = find_chance(new_sample, old_sample)
            yield Finding(fault, series, new_sample, old_sample, chance)


def _failed(answers: Answers) -> Sample:
    return Sample(answers.failed, answers.answered)


def _lost_samples(new: Answers, old: Answers) -> tuple[Sample, Sample]:
    losing = sum(count > 0 for count in new.lost_by_server.values())
    if losing < MIN_LOSING_SERVERS:
        return Sample(0, 0), Sample(0, 0)
    return _lost(new), _lost(old)


def _lost(answers: Answers) -> Sample:
    lost = answers.lost_by_server.total()
    return Sample(lost, lost + answers.answered)


def _slow_samples(new: Answers, old: Answers) -> tuple[Sample, Sample]:
    """Returns how many durations are far beyond the usual ones."""
    limit = _slow_limit(old)
    return _slow(new, limit), _slow(old, limit)


def _slow_limit(old: Answers) -> int:
    """Returns the last class of durations that are not slow."""
    wanted = USUAL_SHARE * old.times.total()
    count = 0
    for number in range(CLASS_COUNT):
        count += old.times[number]
        if count >= wanted:
            return max(number + SLOW_MARGIN_CLASSES, NEVER_SLOW_CLASS)
    return CLASS_COUNT


def _slow(answers: Answers, limit: int) -> Sample:
    slow = sum(n for number, n in answers.times.items() if number > limit)
    # One that isn't slow so far may become so: it doesn't count.
    cut = sum(n for number, n in answers.cut.items() if number > limit)
    return Sample(slow + cut, answers.times.total() + cut)


def _is_enough(
    routes: Mapping[str, Comparison], new_answers: int, old_answers: int
) -> bool:
    """Whether there are answers enough of all routes that matter."""
    if new_answers < MIN_NEW_ANSWERS:
        return False
    return all(
        pair.new.answered >= MIN_NEW_ANSWERS_PER_ROUTE
        for pair in routes.values()
        if pair.old.answered > MIN_ROUTE_SHARE * old_answers
    )
