import subprocess
import sys

import pytest

from bench.standins.tests.client import connect, send

ANY_FREE_PORT = "127.0.0.1:0"


@pytest.fixture
def start_standin():
    processes = []

    def start(*args):
        command = [sys.executable, "-m", "bench.standins", *args]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        processes.append(process)
        return process

    yield start
    for process in processes:
        process.kill()
        process.wait()
        process.stdout.close()


def read_address(process):
    word, address = process.stdout.readline().split()
    assert word == "listening"
    return address


@pytest.mark.parametrize(
    ("subcommand", "path"), [("platform", "/vms"), ("worker", "/v1/status"), ("upstream", "/any")]
)
def test_each_subcommand_serves_requests(start_standin, subcommand, path):
    address = read_address(start_standin(subcommand, "--address", ANY_FREE_PORT))
    assert send(connect(address), "GET", path)[0] == 200


@pytest.mark.parametrize("subcommand", ["worker", "upstream"])
def test_crash_of_the_only_standin_exits_the_process(start_standin, subcommand):
    process = start_standin(subcommand, "--address", ANY_FREE_PORT)
    client = connect(read_address(process))
    with pytest.raises(Exception, match="closed|reset"):
        send(client, "POST", "/faults", {"crash": True})
    assert process.wait(30) == 70


def test_crash_of_one_of_several_workers_leaves_the_others_running(start_standin):
    process = start_standin(
        "worker", "--address", ANY_FREE_PORT, "--address", ANY_FREE_PORT, "--speed", "2.0"
    )
    first, second = read_address(process), read_address(process)
    attempt = {"attempt": "t0", "job": "j", "index": 0, "run_time_ms": 1e9}
    send(connect(first), "POST", "/v1/attempts", {"home": "h", "attempts": [attempt]})
    with pytest.raises(Exception, match="closed|reset"):
        send(connect(first), "POST", "/faults", {"crash": True})
    with pytest.raises(ConnectionRefusedError):
        send(connect(first), "GET", "/v1/status")
    assert send(connect(second), "GET", "/v1/status")[0] == 200
    _, record = send(connect(second), "GET", f"/record?worker={first}")
    assert [start["attempt"] for start in record["starts"]] == ["t0"]
