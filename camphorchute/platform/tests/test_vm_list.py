import pytest

from bench.standins.platform import Platform
from camphorchute.platform import VmList, VmState
from camphorchute.platform.json_client import JsonClient

VM = "127.0.1.1"


@pytest.fixture
def platform():
    standin = Platform("127.0.0.1:0")
    standin.start()
    yield standin
    standin.close()


def row(state):
    return f'{{"address": "{VM}", "zone": "north", "state": "{state}"}}'.encode()


ADD, LEAVE = ("POST", "/vms", row("live")), ("POST", "/vms", row("leaving"))
REMOVE = ("DELETE", f"/vms?address={VM}", b"")
BREAK, MEND = (("POST", "/faults", b'{"vms_outage": %s}' % word) for word in (b"true", b"false"))
LAG = ("POST", "/faults", b'{"vms_lag_ms": 3600000.0}')


@pytest.mark.parametrize(
    ("steps", "state", "read"),
    [
        ([], VmState.NEVER_LISTED, True),
        ([ADD], VmState.LIVE, True),
        ([ADD, LEAVE], VmState.LEAVING, True),
        ([ADD, REMOVE], VmState.GONE, True),
        ([ADD, REMOVE, ADD], VmState.LIVE, True),
        ([ADD, LEAVE, REMOVE, LEAVE], VmState.LEAVING, True),
        ([ADD, BREAK], VmState.LIVE, False),
        ([ADD, BREAK, REMOVE], VmState.LIVE, False),
        ([ADD, BREAK, REMOVE, MEND], VmState.GONE, True),
        ([ADD, REMOVE, BREAK, ADD], VmState.GONE, False),
        ([BREAK, ADD], VmState.NEVER_LISTED, False),
        ([LAG, ADD], VmState.NEVER_LISTED, True),
    ],
)
def test_state_after_steps(platform, steps, state, read):
    control, vms = JsonClient(platform.address), VmList(platform.address)
    done = vms.refresh()
    for step in steps:
        control.call(*step)
        done = vms.refresh()
    assert (vms.state(VM), done) == (state, read)
    assert vms.addresses(state) == ([] if state is VmState.NEVER_LISTED else [VM])
    vms.close()
    control.close()


@pytest.mark.parametrize("vms", [None, [{"address": VM}], [{"address": VM, "state": "odd"}]])
def test_malformed_list_changes_nothing(platform, vms):
    listing = VmList(platform.address)
    JsonClient(platform.address).call(*ADD)
    assert listing.refresh()
    platform._listings.append((0.0, vms))
    assert not listing.refresh()
    assert (listing.state(VM), listing.failures) == (VmState.LIVE, {"malformed": 1})
