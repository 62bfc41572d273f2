import pytest

from camphorchute.runs.tests.model_workers import ModelSite
from camphorchute.runs.tests.scheduler_site import SchedulerSite


@pytest.fixture
def open_site():
    opened = []

    def open_one(**fields):
        opened.append(SchedulerSite(**fields))
        return opened[-1]

    yield open_one
    for site in opened:
        site.close()


@pytest.fixture
def open_model():
    opened = []

    def open_one(**fields):
        opened.append(ModelSite(**fields))
        return opened[-1]

    yield open_one
    for site in opened:
        site.close()
