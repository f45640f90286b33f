"""Fleets of tests that run at the same time must not share loopback addresses.

Each worker shifts its subnets by ``SUBNETS_PER_WORKER``.
"""

import re
from collections import Counter
from pathlib import Path

from tests.conftest import SUBNETS_PER_WORKER

SUBNET = re.compile(r"subnet=(\d+)|SUBNET = (\d+)")


def test_no_two_modules_share_a_subnet():
    used = Counter()
    for path in Path(__file__).parent.glob("*.py"):
        numbers = {int(a or b) for a, b in SUBNET.findall(path.read_text())}
        used.update(number % SUBNETS_PER_WORKER for number in numbers)
    assert [each for each, count in used.items() if count > 1] == []
