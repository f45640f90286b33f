"""Tests that limits hold while homes still use different configuration versions."""

import json

import pytest

from heathercleat import parse_text
from heathercleat.version.version_transition import (
    PROPAGATION_SECONDS,
    VersionTransition,
)
from tests.test_text import make_text

NOW = 100.0
DOMAINS = ("north-a", "north-b", "south-a")


def make_version(limit=8, link=6, cap=6, names=("t1", "t2"), slots=(4, 4)):
    """Return a version whose limits are divided among its targets in north-a."""
    text = make_text(shift_cap={"slots": cap, "window_s": 10})
    text["regions"] = {
        "north": {"failure_domains": ["north-a", "north-b"], "limit": limit},
        "south": {"failure_domains": ["south-a"]},
    }
    text["links"] = [{"between": ["north-a", "south-a"], "limit": link}]
    text["services"]["lookup"]["targets"] = {
        name: {
            "address": f"127.0.0.{number}:9000",
            "failure_domain": "north-a",
            "slots": each,
        }
        for number, (name, each) in enumerate(zip(names, slots, strict=True), 1)
    }
    return parse_text(json.dumps(text))


def targets_of(transition):
    targets = transition.text.services["lookup"].targets
    return {
        name: transition.restrict_target(target) for name, target in targets.items()
    }


def links_of(transition):
    targets = transition.text.services["lookup"].targets
    return {name: transition.restrict_links(target) for name, target in targets.items()}


def adopt_versions(*texts):
    transition = VersionTransition()
    for text in texts:
        transition.adopt(text, NOW)
    return transition


@pytest.mark.parametrize(
    "later",
    [
        {"slots": (2, 6)},
        {"names": ("t1", "t2", "t3"), "slots": (4, 4, 4)},
        {"names": ("t2", "t3"), "slots": (4, 8)},
        {"limit": 4, "link": 2, "cap": 2},
        {"limit": 12, "link": 8, "cap": 8},
    ],
)
def test_homes_on_two_versions_never_exceed_the_larger_limit(later):
    """Some homes may still use the earlier version while others use the later one."""
    earlier, after = (
        adopt_versions(make_version()),
        adopt_versions(make_version(), make_version(**later)),
    )
    sums = {"region": 0, "link": 0, "shift": 0}
    names = {*targets_of(earlier), *targets_of(after)}
    for name in names:
        parts = [
            (targets_of(each)[name], links_of(each)[name])
            for each in (earlier, after)
            if name in targets_of(each)
        ]
        sums["region"] += max(target.limit for target, _ in parts)
        sums["link"] += max(links["south-a"] for _, links in parts)
        sums["shift"] += max(target.shift_cap.slots for target, _ in parts)
    assert sums["region"] <= 8
    assert sums["link"] <= 6
    assert sums["shift"] <= 6


def test_later_limits_hold_once_the_version_is_in_force_everywhere():
    transition = adopt_versions(make_version(), make_version(limit=12, slots=(6, 6)))
    assert not transition.expire_superseded(NOW + PROPAGATION_SECONDS - 1)
    assert transition.expire_superseded(NOW + PROPAGATION_SECONDS)
    assert [target.limit for target in targets_of(transition).values()] == [6, 6]


def test_slots_of_a_target_rise_at_once_without_shared_limits():
    plain = parse_text(json.dumps(make_text()))
    more = make_text()
    more["services"]["lookup"]["targets"]["t1"]["slots"] = 9
    transition = adopt_versions(plain, parse_text(json.dumps(more)))
    assert targets_of(transition)["t1"].limit == 9


def test_first_version_has_its_limits_at_once():
    assert targets_of(adopt_versions(make_version()))["t1"].limit == 4
