import pytest

from standins.demo import demo_text
from standins.fleet import Fleet

VMS = {"north-a": 2, "north-b": 1, "south-a": 1, "south-b": 1}


@pytest.fixture(scope="module")
def fleet():
    """Five entry VMs in four failure domains of two regions, for one module."""
    with Fleet(demo_text(), VMS, subnet=20) as running:
        running.wait_ready()
        yield running
