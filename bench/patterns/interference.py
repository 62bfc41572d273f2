"""Load patterns with and without kinds of tasks that slow each other down on a worker."""

from bench.patterns.model import Model
from bench.patterns.pattern import BOOKINGS, CANCELS, CHECKS, register_pattern

__all__ = ["SPEEDS", "TAIL_SHARE"]

LOAD_S = 30.0
SPEEDS = (0.8, 1.0, 1.25)
TAIL_SHARE = 0.03
SLOWDOWN = 1.8
LOAD_SHARE = 0.5


def _submit(model: Model) -> None:
    """Submit jobs of all kinds, as the requirements for scarce capacity describe them."""
    model.tail_share = TAIL_SHARE
    for number, worker in enumerate(model.workers):
        worker.speed = SPEEDS[number % len(SPEEDS)]
    slots = sum(worker.slots * worker.speed for worker in model.workers)
    slot_s_per_job = 0.25 * 8 * 0.06 + 0.7 * 2 * 0.2 + 0.05 * 4 * 0.9
    jobs_per_s = LOAD_SHARE * slots / slot_s_per_job
    for kind, share in ((CHECKS, 0.25), (CANCELS, 0.7), (BOOKINGS, 0.05)):
        model.submit_at_rate(kind, share * jobs_per_s, 0.0, LOAD_S)


@register_pattern("pair that interferes")
def play_pair(model: Model) -> None:
    """Tasks of one kind slow down those of another kind on the same worker."""
    model.sharing.slowdowns[CANCELS.name, BOOKINGS.name] = SLOWDOWN
    model.sharing.slowdowns[CHECKS.name, BOOKINGS.name] = SLOWDOWN
    _submit(model)


@register_pattern("pair without interference")
def play_pair_without_effect(model: Model) -> None:
    """The same load, and no kind slows down another one."""
    _submit(model)
