"""
papayaward.protocol.identifiers
~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~~

Job identifiers, which contain the name and incarnation of the job's coordinator.
"""

import re
from dataclasses import dataclass

__all__ = ["IdentifierError", "JobId", "parse_job_id"]

MEMBER_PATTERN = r"[a-z0-9][a-z0-9_.]{0,62}"
_JOB_ID = re.compile(rf"j-({MEMBER_PATTERN})-([0-9a-f]{{1,15}})-([0-9]{{1,15}})")


class IdentifierError(ValueError):
    """A job identifier does not have the documented format."""


@dataclass(frozen=True)
class JobId:
    """Identifier of a job.

    Attributes:
        member: Name of the runner that coordinates the job.
        incarnation: Incarnation of that runner; only this one schedules the job.
        number: Number issued by the coordinator, unique within the incarnation.
    """

    member: str
    incarnation: int
    number: int

    def __str__(self):
        return f"j-{self.member}-{self.incarnation:x}-{self.number}"


def parse_job_id(text):
    """Returns the parts of a job identifier.

    Raises:
        IdentifierError: The text is not a job identifier.
    """
    match = _JOB_ID.fullmatch(text)
    if match is None:
        raise IdentifierError(f"{text[:80]!r} is not a job identifier")
    member, incarnation, number = match.groups()
    return JobId(member, int(incarnation, 16), int(number))
