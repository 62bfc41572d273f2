import gevent
import pytest

from camphorchute.contracts import Refusal, ResultCode, TaskSpec
from camphorchute.contracts.messages import (
    DispatchedTask,
    FindTasks,
    FoundTasks,
    HandOff,
    TasksReturned,
)
from camphorchute.entry.scheduler_component import SchedulerComponent
from camphorchute.services import (
    Catalogue,
    ServiceDefinition,
    ServiceRecord,
    Upstream,
    Worker,
)
from camphorchute.workers.http_channel import HttpChannel
from camphorchute.zones.tests.fakes import Counts, member, record_of
from camphorchute.zones.view import ZoneView

A, B = member("a"), member("b", "vm-b")


class FakeScheduler:
    """A scheduler that only records its calls."""

    def __init__(self):
        self.assigned = {}
        self.accepted = []
        self.find_requests = []

    def set_workers(self, definition, back_ends):
        self.assigned[definition.name] = [back_end.name for back_end in back_ends]

    def dispatch_tasks(self, message):
        self.accepted.append(message)

    def find_tasks(self, message):
        self.find_requests.append(message)
        return FoundTasks(message.key, [], [])


class FakePeers:
    """Links that only record the sent messages."""

    def __init__(self):
        self.sent = []

    def send_if_linked(self, member_id, message):
        self.sent.append((member_id, message))
        return True


@pytest.fixture
def component_setup():
    view = ZoneView(A)
    view.adopt(record_of([A, B]))
    view.check_term("north", 3, 7)
    scheduler, peers = FakeScheduler(), FakePeers()
    return SchedulerComponent(scheduler, view, Catalogue(), peers, Counts()), scheduler, peers


def make_hand_off(term):
    task = DispatchedTask(0, "b-1", TaskSpec())
    return HandOff("k", 3, term, "b", "flags", "default", 1000.0, 0, [task])


@pytest.mark.parametrize("term, starts", [(6, False), (7, True), (8, True)])
def test_tasks_of_a_stale_term_are_returned_and_not_scheduled(component_setup, term, starts):
    component, scheduler, peers = component_setup
    component.start_tasks(B, make_hand_off(term))
    assert bool(scheduler.accepted) is starts
    returned = [m for _, m in peers.sent if isinstance(m, TasksReturned)]
    assert bool(returned) is not starts
    if returned:
        assert returned[0].attempts == ["b-1"] and returned[0].code == ResultCode.STALE_TERM


def test_find_tasks_refuses_a_stale_term_and_raises_the_known_term(component_setup):
    component, scheduler, _ = component_setup
    with pytest.raises(Refusal) as refusal:
        component.find_tasks(B, FindTasks("k", 3, 6, "b", "flags"))
    assert refusal.value.code is ResultCode.STALE_TERM and not scheduler.find_requests
    component.find_tasks(B, FindTasks("k", 3, 9, "c", "flags"))
    component.start_tasks(B, make_hand_off(8))
    assert not scheduler.accepted


def test_back_ends_of_a_removed_service_are_unassigned():
    view = ZoneView(A)
    view.adopt(record_of([A]))
    catalogue, scheduler = Catalogue(), FakeScheduler()
    component = SchedulerComponent(scheduler, view, catalogue, FakePeers(), Counts())
    worker = Worker("w", "127.0.2.1:9000", "north")
    upstream = Upstream("u", "127.0.2.2:9000", "north")
    other_zone_worker = Worker("far", "127.0.2.3:9000", "south")
    definition = ServiceDefinition("flags", [worker, other_zone_worker], [upstream])
    catalogue.apply_record(ServiceRecord("flags", 1, definition))
    component._assign_back_ends()
    assert scheduler.assigned == {"flags": ["w"], "flags/requests": ["u"]}
    catalogue.apply_record(ServiceRecord("flags", 2))
    component._assign_back_ends()
    assert scheduler.assigned == {"flags": [], "flags/requests": []}


class ConnectingScheduler(FakeScheduler):
    """A scheduler that opens a channel to each of its back ends."""

    def start(self):
        pass

    def set_workers(self, definition, back_ends):
        for back_end in back_ends:
            HttpChannel(back_end.address).close()
        super().set_workers(definition, back_ends)

    def close(self, timeout_ms):
        pass


# Guards against one stored definition with a malformed address, after which no service was assigned
# back ends any more.
def test_malformed_address_of_a_service_does_not_affect_other_services():
    view = ZoneView(A)
    view.adopt(record_of([A]))
    catalogue, scheduler, counts = Catalogue(), ConnectingScheduler(), Counts()
    component = SchedulerComponent(scheduler, view, catalogue, FakePeers(), counts)
    component.start()
    try:
        for revision, name, address in [(1, "a", "127.0.2.1"), (2, "flags", "127.0.2.2:9000")]:
            definition = ServiceDefinition(name, [Worker("w", address, "north")])
            catalogue.apply_record(ServiceRecord(name, revision, definition))
            gevent.sleep(0.01)
    finally:
        component.close(0.0)
    assert scheduler.assigned["flags"] == ["w"]
    assert counts["home.assign_failed"] == 2
