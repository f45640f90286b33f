import os

import pytest

from standins.demo import demo_text
from standins.fleet import SUBNET_VARIABLE, Fleet

VMS = {"north-a": 2, "north-b": 1, "south-a": 1, "south-b": 1}


#: Subnets between two workers that run tests at the same time.
WORKER_STEP = 25


def pytest_configure(config):
    worker = os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")
    offset = int(os.environ.get(SUBNET_VARIABLE, 0)) + WORKER_STEP * int(worker)
    os.environ[SUBNET_VARIABLE] = str(offset)


@pytest.fixture(scope="module")
def fleet():
    """Five entry VMs in four failure domains of two regions, for one module."""
    with Fleet(demo_text(), VMS, subnet=20) as running:
        running.wait_ready()
        yield running
