"""The load patterns."""

from bench.patterns.model import Model
from bench.patterns.pattern import BOOKINGS, CANCELS, CHECKS, register_pattern

__all__ = ["submit_usual_load"]

LOAD_S = 30.0
FAULT_FROM_S, FAULT_UNTIL_S = 8.0, 20.0


def submit_usual_load(model: Model, share: float = 0.85) -> None:
    """Submit jobs of all kinds at a share of the capacity of the model's workers."""
    slots = sum(worker.slots * worker.speed for worker in model.workers)
    slot_s_per_job = 0.25 * 8 * 0.06 + 0.7 * 2 * 0.2 + 0.05 * 4 * 0.9
    jobs_per_s = share * slots / slot_s_per_job
    model.submit_at_rate(CHECKS, 0.25 * jobs_per_s, 0.0, LOAD_S)
    model.submit_at_rate(CANCELS, 0.7 * jobs_per_s, 0.0, LOAD_S)
    model.submit_at_rate(BOOKINGS, 0.05 * jobs_per_s, 0.0, LOAD_S)


@register_pattern("burst of wide jobs")
def play_wide_burst(model: Model) -> None:
    """Wide jobs come at twice the capacity for a second and a half, every five seconds."""
    submit_usual_load(model, 0.6)
    for second in range(5, 30, 5):
        model.submit_at_rate(CHECKS, 90.0, second, second + 1.5)


@register_pattern("worker that fails at once")
def play_failing_worker(model: Model) -> None:
    """Two workers of a zone fail every task as soon as it starts."""
    submit_usual_load(model, 0.6)

    def set_failing(fails: bool) -> None:
        for worker in model.workers[:2]:
            worker.fails = fails

    model.at(FAULT_FROM_S, lambda: set_failing(True))
    model.at(FAULT_UNTIL_S, lambda: set_failing(False))


@register_pattern("workers that hang")
def play_hanging_workers(model: Model) -> None:
    """Tasks on a tenth of the workers make no progress."""
    submit_usual_load(model, 0.6)
    speeds = {worker: worker.speed for worker in model.workers[1:4:2]}

    def set_hanging(hangs: bool) -> None:
        for worker, speed in speeds.items():
            worker.speed = 0.0 if hangs else speed

    model.at(FAULT_FROM_S, lambda: set_hanging(True))
    model.at(FAULT_UNTIL_S, lambda: set_hanging(False))


@register_pattern("wrong estimates")
def play_wrong_estimates(model: Model) -> None:
    """Estimates of different jobs are off by a factor of two and more, at a usual load."""
    submit_usual_load(model, 0.75)


@register_pattern("slow third")
def play_slow_third(model: Model) -> None:
    """A third of the workers turn six times slower."""
    submit_usual_load(model, 0.6)
    speeds = {worker: worker.speed for worker in model.workers[::3]}

    def set_slow(factor: float) -> None:
        for worker, speed in speeds.items():
            worker.speed = speed / factor

    model.at(FAULT_FROM_S, lambda: set_slow(6.0))
    model.at(FAULT_UNTIL_S, lambda: set_slow(1.0))


@register_pattern("total restart")
def play_total_restart(model: Model) -> None:
    """No scheduler is known for half a second after the start of all processes."""
    submit_usual_load(model, 0.6)
    model.has_schedulers = False

    def report() -> None:
        model.has_schedulers = True

    model.at(0.5, report)


@register_pattern("zone gone")
def play_zone_gone(model: Model) -> None:
    """A zone is partitioned; runs there of other zones' jobs do not report."""
    submit_usual_load(model, 0.6)

    def cut() -> None:
        model.cut_zone = "a"
        model.lose_runs_across_the_cut()

    def heal() -> None:
        model.cut_zone = ""

    model.at(FAULT_FROM_S, cut)
    model.at(FAULT_UNTIL_S, heal)
