import subprocess
import sys

import pytest

from bench.standins.tests.client import connect, send

ANY = "127.0.0.1:0"


@pytest.fixture
def run():
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


def next_address(process):
    word, address = process.stdout.readline().split()
    assert word == "listening"
    return address


@pytest.mark.parametrize(
    ("kind", "path"), [("platform", "/vms"), ("worker", "/v1/status"), ("upstream", "/any")]
)
def test_kinds_serve(run, kind, path):
    address = next_address(run(kind, "--address", ANY))
    assert send(connect(address), "GET", path)[0] == 200


@pytest.mark.parametrize("kind", ["worker", "upstream"])
def test_crash_ends_the_process(run, kind):
    process = run(kind, "--address", ANY)
    client = connect(next_address(process))
    with pytest.raises(Exception, match="closed|reset"):
        send(client, "POST", "/faults", {"crash": True})
    assert process.wait(30) == 70


def test_crash_of_one_of_several_workers(run):
    process = run("worker", "--address", ANY, "--address", ANY, "--speed", "2.0")
    first, second = next_address(process), next_address(process)
    row = {"attempt": "t0", "job": "j", "index": 0, "run_time_ms": 1e9}
    send(connect(first), "POST", "/v1/attempts", {"home": "h", "attempts": [row]})
    with pytest.raises(Exception, match="closed|reset"):
        send(connect(first), "POST", "/faults", {"crash": True})
    with pytest.raises(ConnectionRefusedError):
        send(connect(first), "GET", "/v1/status")
    assert send(connect(second), "GET", "/v1/status")[0] == 200
    _, record = send(connect(second), "GET", f"/record?worker={first}")
    assert [start["attempt"] for start in record["starts"]] == ["t0"]
