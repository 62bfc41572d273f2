import json

import pytest
from click.testing import CliRunner

from camphorchute.cli.main import main
from camphorchute.cli.tests.entry_stand_in import TOKEN, EntryStandIn
from camphorchute.cli.tests.test_settings import VALID_SETTINGS
from camphorchute.contracts.codes import codes_markdown

DEFINITION = {
    "name": "flags",
    "workers": [{"name": "w1", "address": "127.0.2.1:9000", "zone": "north"}],
}


@pytest.fixture
def entry():
    stand_in = EntryStandIn()
    stand_in.start()
    yield stand_in
    stand_in.close()


@pytest.fixture
def run(entry):
    def run(*arguments, body=None, **environment):
        environment = {
            "CAMPHORCHUTE_ENTRY": entry.address,
            "CAMPHORCHUTE_OPERATOR_TOKEN": TOKEN,
            "CAMPHORCHUTE_OPERATOR": "ada",
            **environment,
        }
        text = None if body is None else json.dumps(body)
        return CliRunner().invoke(main, list(arguments), input=text, env=environment)

    return run


def planned(run, *arguments, body=None):
    result = run("service", "plan", *arguments, "--json", body=body)
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def confirmed(run, plan):
    result = run("service", "confirm", plan["id"], "--json")
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def test_plan_show_confirm_history(run):
    text = run("service", "plan", "-", body=DEFINITION).stdout
    assert "workers[w1]: none -> {name: w1" in text
    assert "workers_joining: w1" in text
    plan_id = text.strip().rsplit(" ", 1)[1]
    assert run("service", "plan-show", plan_id).stdout == text
    assert f"plan {plan_id} is confirmed: revision 2" in run("service", "confirm", plan_id).stdout
    again = run("service", "confirm", plan_id)
    assert (again.exit_code, "an earlier call confirmed it" in again.stdout) == (0, True)
    listed = run("service", "history", "flags").stdout.split("\n")
    assert listed[0].split() == ["revision", "confirmed", "operator", "plan", "state"]
    assert listed[1].split()[::2] == ["2", "ada", "defined"]
    shown = run("service", "show", "flags").stdout.split("\n")
    assert shown[-2].split() == ["w1", "127.0.2.1:9000", "north"]


def test_set_undo_and_remove(run):
    first = confirmed(run, planned(run, "-", body=DEFINITION))["revision"]
    changes = ("--set", "limits.queue_max_tasks=50", "--set", "workers[w1].draining=true")
    plan = planned(run, "--service", "flags", *changes)
    assert [change["path"] for change in plan["differences"]] == [
        "workers[w1].draining",
        "limits.queue_max_tasks",
    ]
    confirmed(run, plan)
    undo = planned(run, "--service", "flags", "--undo", str(first))
    assert undo["undo_revision"] == first
    confirmed(run, undo)
    removal = planned(run, "--service", "flags", "--remove")
    assert "definition" in removal and removal["definition"] is None


def test_set_does_not_undo_a_change_that_came_between(run, entry, monkeypatch):
    confirmed(run, planned(run, "-", body=DEFINITION))
    make_plan = entry.make_plan

    def confirm_another_first(body, operator):
        other = entry.planner.plan("flags", {**DEFINITION, "drain_ms": 7.0}, "ben")
        entry.planner.confirm(other.id, "ben")
        return make_plan(body=body, operator=operator)

    entry.make_plan = confirm_another_first
    result = run("service", "plan", "--service", "flags", "--set", "waste_weight=0.9")
    assert result.exit_code == 1
    assert "was changed meanwhile" in result.stderr
    plans = [key for key in entry.store.values if "/plans/" in key]
    assert len(plans) == 2


def test_discard(run):
    plan = planned(run, "-", body=DEFINITION)
    assert run("service", "discard", plan["id"]).exit_code == 0
    gone = run("service", "plan-show", plan["id"])
    assert (gone.exit_code, gone.stderr.split(":")[0]) == (1, "501 plan_unknown")


def test_a_confirm_whose_answer_is_lost_ends_with_4_and_can_be_repeated(run, entry):
    plan = planned(run, "-", body=DEFINITION)
    entry.lose_answer = True
    lost = run("service", "confirm", plan["id"])
    assert (lost.exit_code, lost.stdout) == (4, "")
    assert "may have taken effect" in lost.stderr
    assert confirmed(run, plan)["repeated"]


def test_a_store_that_is_down_or_unclear(run, entry):
    plan = planned(run, "-", body=DEFINITION)
    entry.store.fault = lambda call: "down"
    assert run("service", "confirm", plan["id"]).exit_code == 1
    entry.store.fault = lambda call: "dropped" if call == "swap" else ""
    unclear = run("service", "confirm", plan["id"])
    assert (unclear.exit_code, unclear.stderr.split(":")[0]) == (4, "505 confirm_unknown")


EXITS = [
    (("service", "status"), 0, "vm1   127.0.1.1:8001  yes    no       7         1.5 s ago  32"),
    (("service", "status"), 0, "could not be asked: 127.0.1.2:7001"),
    (("service", "status", "--operator", "\u017dofie"), 2, "printable ASCII"),
    (("drain", "worker", "w1", "--service", "flags"), 0, "worker: w1"),
    (("drain", "entry", "127.0.1.1:7001"), 0, "entry: 127.0.1.1:7001"),
    (("job", "cancel", "k1"), 0, "cancelled_as: 405"),
    (("job", "get", "k1"), 4, "111 job_unknown"),
    (("job", "get", "failed"), 4, "401 task_failed"),
    (("service", "show", "walks"), 1, "108 unknown_service"),
    (("service", "confirm", "no-such-plan"), 1, "501 plan_unknown"),
    (("service", "status", "--token", "wrong"), 1, "112 unauthorised"),
    (("service", "status", "--entry", "127.0.0.1:1"), 3, "not reachable"),
    (("service", "confirm", "x", "--entry", "127.0.0.1:1"), 3, "not reachable"),
    (("service", "status", "--entry", "here"), 2, "is not IP:port"),
    (("service", "plan"), 2, "Give either FILE"),
    (("service", "plan", "--service", "x", "--remove", "--undo", "3"), 2, "Give either FILE"),
    (("drain", "worker", "w1"), 2, "--service goes with"),
    (("drain", "entry", "e1", "--service", "flags"), 2, "--service goes with"),
]


@pytest.mark.parametrize(("arguments", "code", "part"), EXITS)
def test_exit_codes(run, arguments, code, part):
    result = run(*arguments)
    assert result.exit_code == code, result.output
    assert part in result.output
    if code not in (0, 2):
        assert result.stdout == ""


def test_every_fault_of_a_definition_is_printed(run):
    result = run("service", "plan", "-", body={"name": "flags", "drain_ms": 0, "x": 1})
    assert result.exit_code == 1
    assert "drain_ms: " in result.stderr and "x: unknown field" in result.stderr


def test_submit_prints_the_key_and_sends_no_operator_token(run, entry):
    result = run("job", "submit", "-", "--key", "k7", body={"service": "flags", "tasks": [{}]})
    assert (result.exit_code, result.stderr) == (0, "key k7\n")
    assert "answers: a" in result.stdout
    assert "HTTP_AUTHORIZATION" not in entry.headers


def test_settings_hides_the_token_and_names_sources():
    environment = {f"CAMPHORCHUTE_{name.upper()}": value for name, value in VALID_SETTINGS.items()}
    result = CliRunner().invoke(main, ["settings", "--rack", "r1"], env=environment)
    assert result.exit_code == 0
    rows = {line.split()[0]: line.split()[-1] for line in result.stdout.strip().split("\n")}
    assert (rows["rack"], rows["zone"], rows["window_s"]) == ("flag", "environment", "default")
    assert VALID_SETTINGS["operator_token"] not in result.output


@pytest.mark.parametrize("command", ["entry", "settings"])
def test_faults_of_the_settings_are_printed_at_once(command):
    result = CliRunner().invoke(main, [command, "--heartbeat-ms", "x"])
    assert result.exit_code == 2
    assert len(result.stderr.strip().split("\n")) == 1 + len(VALID_SETTINGS) + 1


def test_codes():
    assert CliRunner().invoke(main, ["codes"]).stdout == codes_markdown()
