"""What the result of a request says of its server's software version."""

from savorylift.exchange.results import Answered, Broken, NotRun, Unsure
from savorylift.outcomes import Reason
from savorylift.rollouts.answer_log import Outcome

# Statuses from here on are failures of the server.
FIRST_SERVER_ERROR_STATUS = 500


def find_outcome(
    result: Answered | Broken | NotRun | Unsure | None,
) -> Outcome:
    """Returns the outcome; None stands for a stream that is complete."""
    if result is None:
        return Outcome.SUCCEEDED
    if isinstance(result, NotRun):
        return Outcome.ENDED
    if isinstance(result, Answered):
        is_failure = result.head.status >= FIRST_SERVER_ERROR_STATUS
        return Outcome.FAILED if is_failure else Outcome.SUCCEEDED
    is_lost = result.reason is Reason.ANSWER_LOST
    return Outcome.LOST if is_lost else Outcome.ENDED
