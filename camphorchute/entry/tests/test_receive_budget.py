import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.entry.receive_budget import ReceiveBudget

MAX_BYTES = 1_000_000
LARGE = 300_000


class Site:
    """A budget, and the bodies that were given up."""

    def __init__(self):
        self.counts, self.given_up = {}, []
        self.budget = ReceiveBudget(MAX_BYTES, self.count)

    def count(self, name, n=1):
        self.counts[name] = self.counts.get(name, 0) + n

    def open(self, name, size, is_complete=False):
        """Return the reservation of a body, None if it is refused."""
        reservation = self.budget.open(lambda: self.given_up.append(name))
        try:
            reservation.grow_to(size)
            if is_complete:
                reservation.end_receipt()
        except Refusal as refusal:
            assert refusal.code is ResultCode.OVERLOADED
            assert refusal.retry_after_ms > 0
            reservation.close()
            return None
        return reservation


@pytest.fixture
def site():
    return Site()


# Bodies that stopped short of their end, each of legal size, filled the memory of a process.
@pytest.mark.parametrize(
    ("sizes", "given_up"),
    [
        ([LARGE, LARGE], []),
        ([LARGE] * 3, [0]),
        ([LARGE] * 6, [0, 1, 2, 3]),
        ([10, LARGE, LARGE, LARGE], [0, 1]),
        ([2 * LARGE, 10, 10, LARGE], [0]),
        ([10_000] * 90, []),
        ([10_000] * 102, [0, 1]),
    ],
)
def test_bodies_that_are_incomplete_for_longest_are_given_up(site, sizes, given_up):
    opened = [site.open(number, size) for number, size in enumerate(sizes)]
    assert site.given_up == given_up
    assert [number for number, r in enumerate(opened) if r.is_given_up] == given_up
    assert site.budget.held_bytes == sum(r.held_bytes for r in opened) <= MAX_BYTES


def test_complete_bodies_are_kept_and_the_next_one_is_refused(site):
    kept = [site.open("kept", LARGE, is_complete=True) for _ in range(2)]
    assert site.open("next", LARGE) is None
    assert (site.given_up, site.counts) == ([], {"http.receive_full": 1})
    kept[0].close()
    assert site.open("next", LARGE) is not None


def test_large_bodies_leave_room_for_small_ones(site):
    for number in range(2):
        site.open(number, LARGE, is_complete=True)
    small = [site.open("small", 4000, is_complete=True) for _ in range(60)]
    assert None not in small
    assert site.given_up == []


def test_growing_body_is_refused_if_it_is_the_oldest_itself(site):
    oldest = site.open("oldest", LARGE)
    site.open("newer", LARGE)
    with pytest.raises(Refusal):
        oldest.grow_to(2 * LARGE)
    assert site.given_up == []


def test_body_that_was_given_up_is_refused_though_it_became_complete(site):
    first = site.open("first", LARGE)
    site.open("second", 2 * LARGE)
    for call in (first.end_receipt, first.check, lambda: first.grow_to(LARGE)):
        with pytest.raises(Refusal):
            call()
    first.close()
    assert site.budget.held_bytes == 2 * LARGE
