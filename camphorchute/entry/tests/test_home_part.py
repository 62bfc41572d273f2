import pytest

from camphorchute.contracts import Refusal, ResultCode, TaskSpec
from camphorchute.contracts.messages import (
    DispatchedTask,
    FindTasks,
    FoundTasks,
    HandOff,
    TasksReturned,
)
from camphorchute.entry.home_part import HomePart
from camphorchute.services import (
    Catalogue,
    ServiceDefinition,
    ServiceRecord,
    Upstream,
    Worker,
)
from camphorchute.zones.tests.fakes import Counts, member, record_of
from camphorchute.zones.view import ZoneView

A, B = member("a"), member("b", "vm-b")


class Home:
    """A home that only notes what reaches it."""

    def __init__(self):
        self.assigned = {}
        self.handed = []
        self.found = []

    def set_workers(self, definition, back_ends):
        self.assigned[definition.name] = [back_end.name for back_end in back_ends]

    def dispatch_tasks(self, message):
        self.handed.append(message)

    def find_tasks(self, message):
        self.found.append(message)
        return FoundTasks(message.key, [], [])


class Peers:
    """Links that only note what is sent."""

    def __init__(self):
        self.sent = []

    def send_if_linked(self, member_id, message):
        self.sent.append((member_id, message))
        return True


@pytest.fixture
def part():
    view = ZoneView(A)
    view.adopt(record_of([A, B]))
    view.check_term("north", 3, 7)
    home, peers = Home(), Peers()
    return HomePart(home, view, Catalogue(), peers, Counts()), home, peers


def hand_off(term):
    task = DispatchedTask(0, "b-1", TaskSpec())
    return HandOff("k", 3, term, "b", "flags", "default", 1000.0, 0, [task])


@pytest.mark.parametrize("term, starts", [(6, False), (7, True), (8, True)])
def test_a_hand_off_of_an_older_term_is_returned_and_never_reaches_the_home(part, term, starts):
    home_part, home, peers = part
    home_part.hand_off(B, hand_off(term))
    assert bool(home.handed) is starts
    returned = [m for _, m in peers.sent if isinstance(m, TasksReturned)]
    assert bool(returned) is not starts
    if returned:
        assert returned[0].attempts == ["b-1"] and returned[0].code == ResultCode.STALE_TERM


def test_an_owner_of_an_older_term_learns_nothing_and_a_newer_one_shuts_it_out(part):
    home_part, home, _ = part
    with pytest.raises(Refusal) as refusal:
        home_part.find_tasks(B, FindTasks("k", 3, 6, "b", "flags"))
    assert refusal.value.code is ResultCode.STALE_TERM and not home.found
    home_part.find_tasks(B, FindTasks("k", 3, 9, "c", "flags"))
    home_part.hand_off(B, hand_off(8))
    assert not home.handed


def test_the_back_ends_of_a_removed_service_are_taken_away():
    view = ZoneView(A)
    view.adopt(record_of([A]))
    catalogue, home = Catalogue(), Home()
    home_part = HomePart(home, view, catalogue, Peers(), Counts())
    worker = Worker("w", "127.0.2.1:9000", "north")
    upstream = Upstream("u", "127.0.2.2:9000", "north")
    far = Worker("far", "127.0.2.3:9000", "south")
    definition = ServiceDefinition("flags", [worker, far], [upstream])
    catalogue.apply_record(ServiceRecord("flags", 1, definition))
    home_part._assign()
    assert home.assigned == {"flags": ["w"], "flags/requests": ["u"]}
    catalogue.apply_record(ServiceRecord("flags", 2))
    home_part._assign()
    assert home.assigned == {"flags": [], "flags/requests": []}
