"""Fleets of tests that run at the same time keep apart on the loopback addresses.

Once in a run of all tests the VMs of a fleet did not find each other in 20 s. The fleet
of another worker had the same IP numbers: two modules had subnets 25 apart, and workers
shift theirs by 25.
"""

import re
from collections import Counter
from pathlib import Path

from tests.conftest import SUBNETS_PER_WORKER

SUBNET = re.compile(r"subnet=(\d+)|SUBNET = (\d+)")


def test_no_two_modules_can_meet_on_one_subnet():
    used = Counter()
    for path in Path(__file__).parent.glob("*.py"):
        numbers = {int(a or b) for a, b in SUBNET.findall(path.read_text())}
        used.update(number % SUBNETS_PER_WORKER for number in numbers)
    assert [each for each, count in used.items() if count > 1] == []
