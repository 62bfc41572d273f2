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


def create_plan(run, *arguments, body=None):
    result = run("service", "plan", *arguments, "--json", body=body)
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def confirm_plan(run, plan):
    result = run("service", "confirm", plan["id"], "--json")
    assert result.exit_code == 0, result.output
    return json.loads(result.stdout)


def test_plan_is_shown_confirmed_and_listed_in_history(run):
    text = run("service", "plan", "-", body=DEFINITION).stdout
    assert "workers[w1]: none -> {name: w1" in text
    assert "workers_joining: w1" in text
    plan_id = text.strip().rsplit(" ", 1)[1]
    assert run("service", "plan-show", plan_id).stdout == text
    assert f"plan {plan_id} is confirmed: revision 2" in run("service", "confirm", plan_id).stdout
    repeated = run("service", "confirm", plan_id)
    assert (repeated.exit_code, "an earlier call confirmed it" in repeated.stdout) == (0, True)
    listed = run("service", "history", "flags").stdout.split("\n")
    assert listed[0].split() == ["revision", "confirmed", "operator", "plan", "state"]
    assert listed[1].split()[::2] == ["2", "ada", "defined"]
    shown = run("service", "show", "flags").stdout.split("\n")
    assert shown[-2].split() == ["w1", "127.0.2.1:9000", "north"]


def test_set_undo_and_remove_make_plans_without_a_file(run):
    first = confirm_plan(run, create_plan(run, "-", body=DEFINITION))["revision"]
    changes = ("--set", "limits.queue_max_tasks=50", "--set", "workers[w1].draining=true")
    plan = create_plan(run, "--service", "flags", *changes)
    assert [change["path"] for change in plan["differences"]] == [
        "workers[w1].draining",
        "limits.queue_max_tasks",
    ]
    confirm_plan(run, plan)
    undo = create_plan(run, "--service", "flags", "--undo", str(first))
    assert undo["undo_revision"] == first
    confirm_plan(run, undo)
    removal = create_plan(run, "--service", "flags", "--remove")
    assert "definition" in removal and removal["definition"] is None


def test_set_is_refused_if_another_change_is_confirmed_after_the_read(run, entry, monkeypatch):
    confirm_plan(run, create_plan(run, "-", body=DEFINITION))
    make_plan = entry.make_plan

    def confirm_another_first(body, operator):
        other = entry.planner.make_plan("flags", {**DEFINITION, "drain_ms": 7.0}, "ben")
        entry.planner.confirm(other.id, "ben")
        return make_plan(body=body, operator=operator)

    entry.make_plan = confirm_another_first
    result = run("service", "plan", "--service", "flags", "--set", "waste_weight=0.9")
    assert result.exit_code == 1
    assert "was changed meanwhile" in result.stderr
    plans = [key for key in entry.store.values if "/plans/" in key]
    assert len(plans) == 2


def test_discarded_plan_is_unknown(run):
    plan = create_plan(run, "-", body=DEFINITION)
    assert run("service", "discard", plan["id"]).exit_code == 0
    shown = run("service", "plan-show", plan["id"])
    assert (shown.exit_code, shown.stderr.split(":")[0]) == (1, "501 plan_unknown")


def test_confirm_without_an_answer_exits_with_4_and_can_be_repeated(run, entry):
    plan = create_plan(run, "-", body=DEFINITION)
    entry.drop_next_answer = True
    unanswered = run("service", "confirm", plan["id"])
    assert (unanswered.exit_code, unanswered.stdout) == (4, "")
    assert "may have taken effect" in unanswered.stderr
    assert confirm_plan(run, plan)["repeated"]


def test_confirm_exits_with_1_if_the_store_is_down_and_4_if_the_write_is_unclear(run, entry):
    plan = create_plan(run, "-", body=DEFINITION)
    entry.store.fault = lambda call: "down"
    assert run("service", "confirm", plan["id"]).exit_code == 1
    entry.store.fault = lambda call: "dropped" if call == "swap" else ""
    unclear = run("service", "confirm", plan["id"])
    assert (unclear.exit_code, unclear.stderr.split(":")[0]) == (4, "505 confirm_unknown")


EXIT_CASES = [
    (("service", "status"), 0, "vm1   127.0.1.1:8001  yes    no       7         1.5 s ago  32"),
    (("service", "status"), 0, "no answer from: 127.0.1.2:7001"),
    (("service", "status", "--operator", "\u017dofie"), 2, "printable ASCII"),
    (("drain", "worker", "w1", "--service", "flags"), 0, "worker: w1"),
    (("drain", "entry", "127.0.1.1:7001"), 0, "entry: 127.0.1.1:7001"),
    (("job", "cancel", "k1"), 0, "cancelled_as: 405"),
    (("job", "get", "k1"), 4, "111 job_unknown"),
    (("job", "get", "failed"), 4, "401 task_failed"),
    (("service", "show", "walks"), 1, "108 unknown_service"),
    (("service", "confirm", "no-such-plan"), 1, "501 plan_unknown"),
    (("service", "status", "--token", "wrong"), 1, "112 unauthorised"),
    (("service", "status", "--entry", "127.0.0.1:1"), 3, "entry process not reachable"),
    (("service", "confirm", "x", "--entry", "127.0.0.1:1"), 3, "entry process not reachable"),
    (("service", "status", "--entry", "here"), 2, "is not IP:port"),
    (("service", "plan"), 2, "Give either FILE"),
    (("service", "plan", "--service", "x", "--remove", "--undo", "3"), 2, "Give either FILE"),
    (("drain", "worker", "w1"), 2, "--service is required for"),
    (("drain", "entry", "e1", "--service", "flags"), 2, "--service is required for"),
]


@pytest.mark.parametrize(("arguments", "code", "text"), EXIT_CASES)
def test_exit_code_and_output(run, arguments, code, text):
    result = run(*arguments)
    assert result.exit_code == code, result.output
    assert text in result.output
    if code not in (0, 2):
        assert result.stdout == ""


def test_every_validation_error_of_a_definition_is_printed(run):
    result = run("service", "plan", "-", body={"name": "flags", "drain_ms": 0, "x": 1})
    assert result.exit_code == 1
    assert "drain_ms: " in result.stderr and "x: unknown field" in result.stderr


def test_submit_prints_the_key_and_sends_no_operator_token(run, entry):
    result = run("job", "submit", "-", "--key", "k7", body={"service": "flags", "tasks": [{}]})
    assert (result.exit_code, result.stderr) == (0, "key k7\n")
    assert "answers: a" in result.stdout
    assert "HTTP_AUTHORIZATION" not in entry.headers


def test_settings_hides_the_token_and_prints_sources():
    environment = {f"CAMPHORCHUTE_{name.upper()}": value for name, value in VALID_SETTINGS.items()}
    result = CliRunner().invoke(main, ["settings", "--rack", "r1"], env=environment)
    assert result.exit_code == 0
    rows = {line.split()[0]: line.split()[-1] for line in result.stdout.strip().split("\n")}
    assert (rows["rack"], rows["zone"], rows["window_s"]) == ("flag", "environment", "default")
    assert VALID_SETTINGS["operator_token"] not in result.output


@pytest.mark.parametrize("command", ["entry", "settings"])
def test_every_error_of_the_settings_is_printed(command):
    result = CliRunner().invoke(main, [command, "--heartbeat-ms", "x"])
    assert result.exit_code == 2
    assert len(result.stderr.strip().split("\n")) == 1 + len(VALID_SETTINGS) + 1


def test_codes_prints_the_table_of_result_codes():
    assert CliRunner().invoke(main, ["codes"]).stdout == codes_markdown()
