import pytest

from camphorchute.contracts import Refusal, ResultCode
from camphorchute.services import Limits, ServiceDefinition, ServiceRecord, Upstream, Usage, Worker
from camphorchute.services.differences import find_differences
from camphorchute.services.effects import find_effects
from camphorchute.services.plan import make_plan, service_of_plan_id


def worker(number, zone="north", **fields):
    return Worker(f"w{number}", f"127.0.2.{number}:9000", zone, **fields)


OLD = ServiceDefinition(
    "flags", workers=[worker(1), worker(2, "south")], upstreams=[Upstream("u1", "127.0.3.1:1", "a")]
)
CHANGES = [
    (OLD, OLD, []),
    (
        OLD,
        ServiceDefinition("flags", workers=[*reversed(OLD.workers)], upstreams=OLD.upstreams),
        [],
    ),
    (
        OLD,
        ServiceDefinition(
            "flags",
            workers=[worker(1, slots=16), worker(2, "south", draining=True)],
            limits=Limits(queue_max_tasks=9),
            quotas={"stewards": 4},
        ),
        [
            "workers[w1].slots: 8 -> 16",
            "workers[w2].draining: False -> True",
            "upstreams[u1]: {name: u1, address: 127.0.3.1:1, zone: a, connections: 64, "
            "draining: False} -> none",
            "limits.queue_max_tasks: 20000 -> 9",
            "quotas[stewards]: none -> 4",
        ],
    ),
]


@pytest.mark.parametrize(("before", "after", "texts"), CHANGES)
def test_differences_between_definitions(before, after, texts):
    assert [str(difference) for difference in find_differences(before, after)] == texts


def test_adding_and_removing_a_service_list_the_same_differences():
    added = {change.path: change.after for change in find_differences(None, OLD)}
    removed = {change.path: change.before for change in find_differences(OLD, None)}
    assert added == removed
    assert added["name"] == "flags"
    assert "workers[w1]" in added


BUSY = Usage(
    running_by_worker={"w1": 8, "w2": 6},
    running_by_upstream={"u1": 3},
    waiting_by_zone={"north": 5},
    team_tasks_by_zone={"north": {"stewards": 9, "makers": 2}},
    not_asked=["127.0.1.9:7000"],
)
NOT_REACHED_WARNING = "the present use does not include 127.0.1.9:7000: not reached"
EFFECTS = [
    (OLD, {"slots_after": 16}, [NOT_REACHED_WARNING]),
    (
        None,
        {"workers_leaving": ["w1", "w2"], "tasks_on_leaving": 17, "tasks_stranded": 5},
        [
            "the service is removed: new jobs for it are refused",
            "17 tasks or requests running on leaving back ends get the drain time to finish",
            "5 waiting tasks could not run: no slot would be left",
            "0 slots would be left, 14 are in use",
            "zone north would have no worker that accepts work",
            "zone south would have no worker that accepts work",
            NOT_REACHED_WARNING,
        ],
    ),
    (
        ServiceDefinition("flags", [worker(1), worker(2, "south", draining=True)], OLD.upstreams),
        {"workers_leaving": ["w2"], "slots_after": 8, "tasks_on_leaving": 6},
        [
            "6 tasks or requests running on leaving back ends get 30000 ms to finish",
            "8 slots would be left, 14 are in use",
            "zone south would have no worker that accepts work",
            NOT_REACHED_WARNING,
        ],
    ),
    (
        ServiceDefinition(
            "flags", [*OLD.workers, worker(3)], OLD.upstreams, quotas={"stewards": 8, "makers": 2}
        ),
        {"workers_joining": ["w3"], "slots_after": 24},
        ["team stewards has 9 tasks in zone north, over its quota of 8", NOT_REACHED_WARNING],
    ),
    (
        ServiceDefinition("flags", [worker(1), worker(2, "south", slots=7)], OLD.upstreams),
        {"slots_before": 16, "slots_after": 15},
        ["slots would fall from 16 to 15 while 5 tasks wait", NOT_REACHED_WARNING],
    ),
    (
        ServiceDefinition(
            "flags", [worker(1), Worker("w2", "127.0.9.9:1", "south")], OLD.upstreams
        ),
        {"workers_joining": ["w2"], "workers_leaving": ["w2"], "tasks_on_leaving": 6},
        [
            "6 tasks or requests running on leaving back ends get 30000 ms to finish",
            NOT_REACHED_WARNING,
        ],
    ),
]


@pytest.mark.parametrize(("after", "expected", "warnings"), EFFECTS)
def test_effects_and_warnings_of_a_change(after, expected, warnings):
    effects = find_effects(OLD, after, BUSY)
    assert {name: getattr(effects, name) for name in expected} == expected
    assert effects.warnings == warnings


@pytest.mark.parametrize(
    ("record", "definition", "code"),
    [
        (ServiceRecord("flags"), None, ResultCode.UNKNOWN_SERVICE),
        (ServiceRecord("walks"), OLD, ResultCode.PLAN_INVALID),
        (ServiceRecord("flags"), ServiceDefinition("flags", drain_ms=1e9), ResultCode.PLAN_INVALID),
    ],
)
def test_an_invalid_plan_is_refused(record, definition, code):
    with pytest.raises(Refusal) as caught:
        make_plan(record, definition, Usage(), "ada", 0)
    assert caught.value.code is code


def test_a_plan_that_changes_nothing_has_a_warning():
    plan = make_plan(ServiceRecord("flags", 4, OLD), OLD, Usage(), "ada", 0)
    assert plan.effects.warnings == ["the plan changes nothing"]
    assert service_of_plan_id(plan.id) == "flags"


@pytest.mark.parametrize("plan_id", ["", "flags", "../flags-0123456789abcdef", "flags-0123"])
def test_a_malformed_plan_id_is_refused(plan_id):
    with pytest.raises(Refusal) as caught:
        service_of_plan_id(plan_id)
    assert caught.value.code is ResultCode.PLAN_UNKNOWN
