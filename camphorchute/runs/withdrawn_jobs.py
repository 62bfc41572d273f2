"""Jobs that their owners have withdrawn, so that dispatches still under way are not started."""

import time
from collections import OrderedDict

__all__ = ["WithdrawnJobs"]

RETENTION_S = 10.0  # several times as long as a link without messages stays open
JOBS_MAX = 10_000


class WithdrawnJobs:
    """The last dispatch of each job that was withdrawn here a short time ago.

    Examples:
        >>> withdrawn = WithdrawnJobs()
        >>> withdrawn.add("owner", "job1", 17)
        >>> [withdrawn.includes("owner", "job1", dispatch) for dispatch in (0, 16, 17, 18)]
        [False, True, True, False]
        >>> withdrawn.includes("other", "job1", 16)
        False
    """

    __slots__ = ("_dispatches",)

    def __init__(self) -> None:
        self._dispatches: OrderedDict[tuple[str, str], tuple[int, float]] = OrderedDict()

    def add(self, owner_id: str, job_id: str, dispatch: int) -> None:
        """Bar the dispatches of a job up to a number.

        Args:
            owner_id: member id of the owner of the job.
            job_id: the job.
            dispatch: number of the last dispatch that is barred.
        """
        now_s = time.monotonic()
        earlier, _ = self._dispatches.pop((owner_id, job_id), (0, now_s))
        self._dispatches[owner_id, job_id] = (max(earlier, dispatch), now_s)
        while self._dispatches:
            oldest = next(iter(self._dispatches))
            is_recent = self._dispatches[oldest][1] >= now_s - RETENTION_S
            if len(self._dispatches) <= JOBS_MAX and is_recent:
                return
            del self._dispatches[oldest]

    def includes(self, owner_id: str, job_id: str, dispatch: int) -> bool:
        """Return whether a dispatch is barred; one without a number never is.

        Args:
            owner_id: member id of the owner of the job.
            job_id: the job.
            dispatch: number of the dispatch.
        """
        barred, _ = self._dispatches.get((owner_id, job_id), (0, 0.0))
        return 0 < dispatch <= barred
