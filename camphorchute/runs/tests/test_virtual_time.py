import time

import pytest
from eliot.testing import MemoryLogger, swap_logger

from camphorchute.decision_log import log_decision
from camphorchute.runs.tests.virtual_time import VirtualTime


# Guards against log lines that are dropped after a test in virtual time, which may be ahead of the
# monotonic clock of the machine or have used up the rate limit.
@pytest.mark.parametrize("ahead_s", [0.0, 3600.0])
def test_lines_are_logged_after_virtual_time(ahead_s):
    with VirtualTime() as clock:
        clock.now_s = time.monotonic() + ahead_s
        while log_decision("runs", "in virtual time"):
            pass
    logger = MemoryLogger()
    previous_logger = swap_logger(logger)
    try:
        log_decision("runs", "after it")
    finally:
        swap_logger(previous_logger)
    assert [line["text"] for line in logger.messages] == ["runs: after it"]
