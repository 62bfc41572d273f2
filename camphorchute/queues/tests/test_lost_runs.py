from camphorchute.contracts.run_messages import RunPlace
from camphorchute.queues.lost_runs import LostRuns


def test_unknown_place_of_a_run_is_replaced_by_the_known_one():
    runs = LostRuns()
    assert runs.add(RunPlace("", 0, "", 3))
    assert runs.add(RunPlace("w1", 100, "10.0.0.1:80", 3))
    assert len(runs) == 1
    assert not runs.add(RunPlace("", 0, "", 3))
    assert [place.worker_id for place in runs.places()] == ["w1"]
    assert runs.last_place().worker_id == "w1"
