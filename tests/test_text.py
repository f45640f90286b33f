"""Tests of the parsing and validation of the operators' configuration."""

import json
from pathlib import Path

import pytest

from heathercleat import FindingsError, parse_text

EXAMPLES = Path(__file__).parent.parent / "examples"


def make_text(**service):
    return {
        "regions": {"north": {"failure_domains": ["north-a", "north-b"]}},
        "services": {
            "lookup": {
                "requests": [
                    {
                        "kind": "read",
                        "method": "GET",
                        "path": "/",
                        "run": "idempotent",
                        "timeout_ms": 1000,
                    }
                ],
                "targets": {
                    "t1": {
                        "address": "127.0.0.1:9000",
                        "failure_domain": "north-a",
                        "slots": 4,
                    },
                    "t2": {
                        "address": "127.0.0.2:9000",
                        "failure_domain": "north-b",
                        "slots": 2,
                    },
                },
                **service,
            }
        },
    }


def findings(document):
    with pytest.raises(FindingsError) as caught:
        parse_text(json.dumps(document, indent=1))
    return [str(finding) for finding in caught.value.exceptions]


@pytest.mark.parametrize(
    ("name", "services", "slots"),
    [("fraserline.jsonc", 3, 64 + 36 + 36), ("agencia.jsonc", 3, 108 + 84 + 36)],
)
def test_examples_have_the_sizes_of_the_deployments(name, services, slots):
    text = parse_text((EXAMPLES / name).read_text())
    assert len(text.services) == services
    assert len(text.failure_domains) == 6
    all_targets = [each for s in text.services.values() for each in s.targets.values()]
    assert sum(target.slots for target in all_targets) == slots


def test_all_findings_are_reported_with_line_and_column():
    source = '{ // comment\n "regions": {}, \n "services": 7, }'
    with pytest.raises(FindingsError) as caught:
        parse_text(source, "t.jsonc")
    positions = [(each.line, each.column) for each in caught.value.exceptions]
    assert positions == [(2, 2), (3, 2)]
    assert "t.jsonc:2:2:" in caught.value.render()


def test_duplicate_name_is_refused():
    with pytest.raises(FindingsError, match="t") as caught:
        parse_text('{"regions": {},\n "regions": {}}', "t")
    assert "stands twice" in str(caught.value.exceptions[0])


def test_unknown_dependency_is_refused():
    assert findings(make_text(depends_on=["ghost"])) == ['unknown dependency "ghost"']


def test_dependency_cycle_is_refused():
    assert "cycle" in findings(make_text(depends_on=["lookup"]))[0]


def test_duplicate_address_and_zero_slots_are_refused():
    document = make_text()
    targets = document["services"]["lookup"]["targets"]
    targets["t2"].update(address="127.0.0.1:9000", slots=0)
    messages = findings(document)
    assert sum("belongs to 2 targets" in message for message in messages) == 2
    assert any("no slots" in message for message in messages)


def test_invalid_shift_cap_is_refused():
    messages = findings(make_text(shift_cap={"slots": 99, "window_s": 0}))
    assert len(messages) == 2


@pytest.mark.parametrize("cap", range(0, 7))
def test_shares_of_a_cap_add_up_to_the_cap(cap):
    document = make_text(shift_cap={"slots": cap, "window_s": 10})
    targets = parse_text(json.dumps(document)).services["lookup"].targets.values()
    assert sum(target.shift_cap.slots for target in targets) == cap


@pytest.mark.parametrize("limit", range(1, 8))
def test_parts_of_a_region_limit_never_exceed_it(limit):
    document = make_text()
    document["regions"]["north"]["limit"] = limit
    targets = parse_text(json.dumps(document)).services["lookup"].targets.values()
    assert sum(target.limit for target in targets) <= limit
    assert sum(target.region_share for target in targets) == limit


def test_idempotent_post_is_refused():
    kind = {
        "kind": "edit",
        "method": "POST",
        "path": "/",
        "run": "idempotent",
        "timeout_ms": 100,
    }
    assert "POST" in findings(make_text(requests=[kind]))[0]


def test_comment_marks_inside_strings_are_kept():
    document = make_text()
    document["services"]["lookup"]["requests"][0]["path"] = "/a//b/*c*/"
    text = parse_text(json.dumps(document))
    assert text.services["lookup"].kinds[0].path == "/a//b/*c*/"
