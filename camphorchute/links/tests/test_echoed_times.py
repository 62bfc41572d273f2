import time

import cbor2
import pytest

from camphorchute.links.echoed_times import EchoedTimes, uptime_s

FRAME = cbor2.dumps([0, 0, ["member_beat", 1]])


def test_frame_with_times_is_read_by_a_process_that_ignores_them():
    assert cbor2.loads(EchoedTimes(7).add_to(FRAME))[:3] == cbor2.loads(FRAME)


@pytest.mark.parametrize(
    ("frames_read_by_peer", "is_proof"),
    [(0, False), (1, True)],
    ids=["peer has read nothing", "peer has read a frame"],
)
def test_only_an_echo_proves_that_the_peer_was_running(frames_read_by_peer, is_proof):
    here, there = EchoedTimes(), EchoedTimes()
    for _ in range(frames_read_by_peer):
        there.read(here.add_to(FRAME))
    assert here.read(there.add_to(FRAME)) == FRAME
    assert (here.running_at_s > 0.0) is is_proof


# Guards against taking a message that has waited in a socket for news of its sender.
def test_frame_that_is_read_late_proves_no_more_than_when_it_was_sent():
    here, there = EchoedTimes(), EchoedTimes()
    there.read(here.add_to(FRAME))
    sent_s = uptime_s()
    late = there.add_to(FRAME)
    time.sleep(0.05)
    here.read(late)
    assert here.running_at_s <= sent_s


def test_older_frame_does_not_take_a_proof_back():
    here, there = EchoedTimes(), EchoedTimes()
    there.read(here.add_to(FRAME))
    older = there.add_to(FRAME)
    time.sleep(0.01)
    there.read(here.add_to(FRAME))
    here.read(there.add_to(FRAME))
    proved_s = here.running_at_s
    here.read(older)
    assert here.running_at_s == proved_s


def test_echo_from_the_future_counts_as_now():
    here = EchoedTimes()
    here.read(EchoedTimes(peer_time_ms=2**63).add_to(FRAME))
    assert here.running_at_s <= uptime_s()


# Frames of an older version have three elements. Others without times are malformed: no news.
@pytest.mark.parametrize(
    ("data", "is_news"),
    [(FRAME, True), (b"", False), (b"\x85", False), (b"\x85" + b"\x00" * 40, False)],
    ids=["older version", "empty", "head only", "other elements"],
)
def test_frame_without_times_counts_as_sent_when_it_is_read(data, is_news):
    here = EchoedTimes()
    before_s = uptime_s()
    assert here.read(data) == data
    assert (here.running_at_s >= before_s) is is_news
