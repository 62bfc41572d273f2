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


def vm_body(state):
    return f'{{"address": "{VM}", "zone": "north", "state": "{state}"}}'.encode()


ADD_VM, MARK_LEAVING = ("POST", "/vms", vm_body("live")), ("POST", "/vms", vm_body("leaving"))
REMOVE_VM = ("DELETE", f"/vms?address={VM}", b"")
START_OUTAGE, END_OUTAGE = (
    ("POST", "/faults", b'{"vms_outage": %s}' % flag) for flag in (b"true", b"false")
)
DELAY_LISTING = ("POST", "/faults", b'{"vms_lag_ms": 3600000.0}')


@pytest.mark.parametrize(
    ("requests", "state", "refreshed"),
    [
        ([], VmState.NEVER_LISTED, True),
        ([ADD_VM], VmState.LIVE, True),
        ([ADD_VM, MARK_LEAVING], VmState.LEAVING, True),
        ([ADD_VM, REMOVE_VM], VmState.GONE, True),
        ([ADD_VM, REMOVE_VM, ADD_VM], VmState.LIVE, True),
        ([ADD_VM, MARK_LEAVING, REMOVE_VM, MARK_LEAVING], VmState.LEAVING, True),
        ([ADD_VM, START_OUTAGE], VmState.LIVE, False),
        ([ADD_VM, START_OUTAGE, REMOVE_VM], VmState.LIVE, False),
        ([ADD_VM, START_OUTAGE, REMOVE_VM, END_OUTAGE], VmState.GONE, True),
        ([ADD_VM, REMOVE_VM, START_OUTAGE, ADD_VM], VmState.GONE, False),
        ([START_OUTAGE, ADD_VM], VmState.NEVER_LISTED, False),
        ([DELAY_LISTING, ADD_VM], VmState.NEVER_LISTED, True),
    ],
)
def test_state_after_requests(platform, requests, state, refreshed):
    control, vm_list = JsonClient(platform.address), VmList(platform.address)
    succeeded = vm_list.refresh()
    for request in requests:
        control.send_request(*request)
        succeeded = vm_list.refresh()
    assert (vm_list.state(VM), succeeded) == (state, refreshed)
    assert vm_list.addresses(state) == ([] if state is VmState.NEVER_LISTED else [VM])
    vm_list.close()
    control.close()


@pytest.mark.parametrize("vms", [None, [{"address": VM}], [{"address": VM, "state": "odd"}]])
def test_malformed_list_leaves_the_states_unchanged(platform, vms):
    vm_list = VmList(platform.address)
    JsonClient(platform.address).send_request(*ADD_VM)
    assert vm_list.refresh()
    platform._vm_listings.append((0.0, vms))
    assert not vm_list.refresh()
    assert (vm_list.state(VM), vm_list.failures) == (VmState.LIVE, {"malformed": 1})
