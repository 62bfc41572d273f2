"""The fixture that the tests of a shard's parts share."""

import pytest

from camphorchute.contracts.durable_job_messages import KeptTasksAre
from camphorchute.durable_jobs.tests.shard_site import WORKERS, Site


@pytest.fixture
def site():
    opened = Site()
    opened.peers.reply = KeptTasksAre(WORKERS, [])
    yield opened
    opened.close()
