"""A simulated engine, and the generations that it runs."""

from savorylift.backends.load import Load as EngineLoad
from savorylift.backends.registry import BackendServer
from savorylift.backends.server import ServerEntry
from savorylift.emulator.job import Job
from savorylift.moves.move_order import PlannedMove

SERVICE = "engines"


class Engine:
    """A simulated engine, which may be down for a while after a loss.

    Attributes:
        server: The engine as policies see it.
        jobs: Its generations by number.
        is_running: Whether it is up.
        is_leaving: Whether it is draining or down, so that it takes no new
            generations.
        prefill_until_s: Virtual time at which the prompts of all its
            generations will be prefilled.
    """

    def __init__(self, number: int, domain: str, slots: int) -> None:
        """Creates a running engine without generations."""
        entry = ServerEntry(
            server_id=f"engine-{number}",
            service=SERVICE,
            address=("127.0.0.1", 1 + number),
            failure_domain=domain,
            slots=slots,
            is_leaving=False,
            cold_s=0.0,
            started_ms=0,
            sequence=0,
        )
        self.server = BackendServer(entry, 0.0)
        self.jobs: dict[int, Job] = {}
        self.is_running = True
        self.is_leaving = False
        self.prefill_until_s = 0.0

    @property
    def server_id(self) -> str:
        """Identifier of the engine."""
        return self.server.entry.server_id

    def load(self) -> EngineLoad:
        """Returns its load as policies see it."""
        in_prefill = (
            j for j in self.jobs.values() if j.first_token_at_s is None
        )
        return EngineLoad(
            requests=len(self.jobs),
            tokens=sum(job.tokens for job in self.jobs.values()),
            prefill_tokens=sum(job.kind.prompt_tokens for job in in_prefill),
        )

    def room_at_s(self, job: Job, memory_tokens: int, now_s: float) -> float:
        """Returns when it has room for a generation assigned to it.

        Policies without a queue may give an engine more generations than its
        KV cache holds. The latest one then waits until others have ended.

        Args:
            job: The generation.
            memory_tokens: Tokens that the KV cache holds.
            now_s: Virtual time.
        """
        expected = sum(other.tokens for other in self.jobs.values())
        excess = expected - memory_tokens
        ends = sorted(
            (other.ends_s, other.tokens)
            for other in self.jobs.values()
            if other is not job and other.first_token_at_s is not None
        )
        for ends_s, tokens in ends:
            if excess <= 0:
                break
            excess -= tokens
            if excess <= 0:
                return ends_s
        return now_s

    def planned_moves(self, now_s: float) -> list[PlannedMove]:
        """Returns the moves of its generations that have begun."""
        return [
            PlannedMove(
                self.server_id, job.memory_tokens(now_s), job.attempt_id
            )
            for job in self.jobs.values()
            if job.first_token_at_s is not None
        ]
