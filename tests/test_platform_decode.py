"""Tests that configuration, settings and headers of the platform are decoded."""

import json

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from heathercleat import FindingsError, HeathercleatError
from heathercleat.platform.decode import (
    decode_config,
    decode_evacuations,
    find_configuration,
)
from heathercleat.platform.headers import (
    MAX_SLOWDOWN,
    find_slowdown,
    parse_client_head,
    parse_response_head,
    target_request_headers,
)
from heathercleat.platform.settings import decode_node_settings, load_node_settings
from heathercleat.platform.units import parse_duration, parse_version
from heathercleat.steering.process.store.protocol import StoreRow
from heathercleat.steering.version.routing import RequestKind
from tests.platform_samples import SETTINGS, config


def row(key, document):
    return StoreRow(key, json.dumps(document).encode(), 7)


@pytest.mark.parametrize(
    ("text", "expected"), [("1500ms", 1.5), ("2.5s", 2.5), ("0ms", 0.0)]
)
def test_durations_have_a_unit(text, expected):
    assert parse_duration(text) == expected


@pytest.mark.parametrize("text", ["12", "3m", "", "xms"])
def test_malformed_durations_are_refused(text):
    with pytest.raises(ValueError):
        parse_duration(text)


def test_versions_compare_as_numbers():
    assert parse_version("r12") > parse_version("r9")
    with pytest.raises(ValueError, match="v12"):
        parse_version("v12")


def test_routes_match_by_host_and_longest_prefix():
    table = decode_config(json.dumps(config()).encode())
    assert table.version == 7
    assert table.match("a.example", "/one/x").name == "one"
    assert table.match("a.example", "/one/two/x").name == "two"
    assert table.match("a.example", "/other") is None
    assert table.match("b.example", "/one/x") is None


def test_route_has_the_configured_values():
    table = decode_config(json.dumps(config()).encode())
    route = table.match("a.example", "/one/x")
    assert (route.kind, route.timeout, route.latency_objective) == (
        RequestKind.UNSAFE,
        1.0,
        0.3,
    )
    assert [(each.service, each.weight) for each in route.shares] == [
        ("s1", 90.0),
        ("s2", 10.0),
    ]
    assert route.allows("north") and not route.allows("south")
    assert table.services["s1"].cold_requests_per_second == 14.0


@pytest.mark.parametrize("broken", ["services", "hosts", "limits", "version"])
def test_configuration_without_a_part_is_refused(broken):
    document = config()
    del document[broken]
    with pytest.raises(ValueError):
        decode_config(json.dumps(document).encode())


def test_configuration_with_an_unknown_service_is_refused():
    document = config()
    document["hosts"][0]["paths"][1]["service"] = "missing"
    with pytest.raises(ValueError, match="missing"):
        decode_config(json.dumps(document).encode())


def changed_config(path, value):
    """Return the sample configuration with the value at a path replaced.

    :param path: names and positions; a missing last one is added.
    """
    document = config()
    *parents, last = path
    place = document
    for each in parents:
        place = place[each]
    if isinstance(place, list) and last == len(place):
        place.append(value)
    else:
        place[last] = value
    return document


FIRST_ROUTE = ("hosts", 0, "paths", 0)
SECOND_ROUTE = ("hosts", 0, "paths", 1)
INVALID_VALUES = [
    (("services", 0, "name"), "caf\ud83d"),
    ((*FIRST_ROUTE, "name"), "\udc00"),
    ((*SECOND_ROUTE, "timeout"), "-1s"),
    ((*SECOND_ROUTE, "timeout"), "0ms"),
    ((*SECOND_ROUTE, "timeout"), "infs"),
    ((*SECOND_ROUTE, "timeout"), 5),
    ((*SECOND_ROUTE, "targetLatency"), "-300ms"),
    ((*SECOND_ROUTE, "maxAttempts"), -1),
    ((*SECOND_ROUTE, "maxAttempts"), 0),
    ((*SECOND_ROUTE, "maxAttempts"), True),
    ((*SECOND_ROUTE, "priority"), -1),
    ((*SECOND_ROUTE, "priority"), "1"),
    ((*SECOND_ROUTE, "allowedRegions"), "north"),
    ((*SECOND_ROUTE, "allowedRegions"), ["north", 7]),
    ((*SECOND_ROUTE, "sessionAffinity"), "false"),
    ((*SECOND_ROUTE, "public"), 1),
    ((*SECOND_ROUTE, "kind"), "often"),
    ((*SECOND_ROUTE, "service"), ["s1"]),
    ((*SECOND_ROUTE, "prefix"), "one/two/"),
    ((*SECOND_ROUTE, "prefix"), "/one/two"),
    ((*SECOND_ROUTE, "prefix"), "/one/"),
    ((*SECOND_ROUTE, "name"), "one"),
    ((*SECOND_ROUTE, "name"), None),
    ((*FIRST_ROUTE, "trafficSplit", 0, "weight"), -90),
    ((*FIRST_ROUTE, "trafficSplit", 0, "weight"), "90"),
    ((*FIRST_ROUTE, "trafficSplit", 0, "weight"), float("nan")),
    ((*FIRST_ROUTE, "trafficSplit"), [{"service": "s1", "weight": 0}]),
    (("hosts", 1), {"host": "A.example", "paths": []}),
    (("hosts", 0, "host"), None),
    (("hosts",), {"host": "a.example"}),
    (("services", 0, "name"), "s2"),
    (("services", 0, "coldPerS"), -1),
    (("limits", "maxHeaderBytes"), "16384"),
    (("limits", "idleTimeout"), "-15s"),
    (("limits",), "16384"),
    (("version",), "r1_0"),
    (("version",), "r-7"),
    (("version",), 7),
    (("version",), f"r{1 << 64}"),
]


@pytest.mark.parametrize(("path", "value"), INVALID_VALUES)
def test_invalid_value_is_refused_with_its_field_and_what_is_right(path, value):
    document = changed_config(path, value)
    names = [each for each in path if isinstance(each, str)]
    with pytest.raises(ValueError, match="it has to be") as caught:
        decode_config(json.dumps(document).encode())
    shown, _, expected = str(caught.value).partition("; it has to be ")
    assert names[-1] in shown
    assert expected


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ((*SECOND_ROUTE, "allowedRegions"), None),
        ((*SECOND_ROUTE, "timeout"), None),
        ((*SECOND_ROUTE, "priority"), None),
        ((*SECOND_ROUTE, "trafficSplit"), []),
        ((*FIRST_ROUTE, "trafficSplit", 0, "weight"), 0),
        (("hosts", 1), {"host": "b.example", "paths": []}),
        (("services", 0, "coldPerS"), 0),
        (("unknown",), {"newer": "platform"}),
    ],
)
def test_value_that_is_left_out_or_of_a_newer_platform_is_accepted(path, value):
    document = changed_config(path, value)
    assert decode_config(json.dumps(document).encode()).version == 7


def test_downloads_are_safe():
    document = changed_config((*SECOND_ROUTE, "kind"), "download")
    table = decode_config(json.dumps(document).encode())
    assert table.match("a.example", "/one/two/x").kind is RequestKind.SAFE


def test_hosts_do_not_depend_on_case():
    document = changed_config(("hosts", 0, "host"), "A.Example")
    table = decode_config(json.dumps(document).encode())
    assert table.match("a.example", "/one/x").name == "one"


def paths_in(document, path=()):
    """Yield the path of each value in a document."""
    items = ()
    if isinstance(document, dict):
        items = document.items()
    elif isinstance(document, list):
        items = enumerate(document)
    for key, value in items:
        yield (*path, key)
        yield from paths_in(value, (*path, key))


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=4), inner, max_size=3)
    ),
    max_leaves=4,
)


@given(st.sampled_from(list(paths_in(config()))), JSON_VALUES)
def test_any_changed_value_is_refused_or_leaves_a_usable_configuration(path, value):
    document = changed_config(path, value)
    try:
        table = decode_config(json.dumps(document).encode())
    except ValueError:
        return
    for route in table.routes:
        assert route.timeout > 0
        assert route.latency_objective > 0
        assert route.max_attempts >= 1
        assert sum(share.weight for share in route.shares) > 0
        assert all(share.weight >= 0 for share in route.shares)
    assert len({route.name for route in table.routes}) == len(table.routes)


def test_operator_rows_hold_configuration_and_evacuations():
    rows = [row("config", config()), row("evacuate/north-a", {}), row("other", {})]
    assert find_configuration(rows) is rows[0]
    assert decode_evacuations(rows) == {"north-a"}
    assert find_configuration(rows[1:]) is None


def test_client_head_with_a_malformed_timeout_has_the_default():
    head = parse_client_head([(b"deadline-ms", b"soon"), (b"cookie", b"a=1")])
    assert head.timeout == 30.0
    assert head.affinity is None


def test_client_head_is_decoded():
    headers = [
        (b"request-id", b"r1"),
        (b"deadline-ms", b"1200"),
        (b"cookie", b"x=y; Affinity-Key=17"),
    ]
    head = parse_client_head(headers)
    assert (head.request_id, head.timeout, head.affinity) == ("r1", 1.2, "17")


def test_target_headers_replace_those_of_the_client():
    headers = dict(
        target_request_headers(
            [(b"deadline-ms", b"9999"), (b"expected-instance", b"x"), (b"a", b"b")],
            0.25,
            "i-1",
        )
    )
    assert headers == {
        b"a": b"b",
        b"deadline-ms": b"250",
        b"expected-instance": b"i-1",
    }


@pytest.mark.parametrize(
    ("status", "headers", "not_run", "implies_not_run"),
    [
        (503, [(b"not-executed", b"1")], True, True),
        (421, [], True, True),
        (503, [], False, True),
        (500, [], False, False),
    ],
)
def test_only_a_refusal_implies_that_a_request_has_not_run(
    status, headers, not_run, implies_not_run
):
    head = parse_response_head(status, headers)
    assert (head.reports_not_run, head.status_implies_not_run) == (
        not_run,
        implies_not_run,
    )


@pytest.mark.parametrize("load", [b"3", b"a,b,c", b"1,2", b"1,,3,250", b""])
def test_malformed_load_is_ignored(load):
    assert parse_response_head(200, [(b"server-load", load)]).running_count is None


@pytest.mark.parametrize(
    ("fields", "slowdown"),
    [
        (b"", None),
        (b",", None),
        (b",fast", None),
        (b",0", None),
        (b",-0", None),
        (b",-250", None),
        (b",inf", None),
        (b",nan", None),
        (b",1e999", None),
        (b",1e-400", None),
        (b"," + b"9" * 5000, None),
        (b",1e30", MAX_SLOWDOWN),
        (b",100", 1.0),
        (b", 250 ", 2.5),
        (b",250,7", 2.5),
        (b",250,7,x", 2.5),
        (b",,250", None),
    ],
)
def test_counts_of_a_load_are_valid_whatever_its_other_fields(fields, slowdown):
    """A report with a fourth field was once discarded entirely."""
    headers = [(b"server-load", b"1,2,3" + fields)]
    head = parse_response_head(200, headers)
    assert (head.running_count, head.waiting_count) == (1, 2)
    assert head.slowdown == find_slowdown(headers) == slowdown


def test_settings_are_decoded():
    settings = decode_node_settings(SETTINGS)
    assert (settings.vm, settings.region) == ("vm-1", "north")
    assert (settings.gossip_port, settings.forward_port) == (7200, 7201)
    assert settings.bounds.stop_grace == 6.0
    assert settings.memory == 300 << 20


def test_all_invalid_settings_are_reported_at_once():
    broken = {name: value for name, value in SETTINGS.items() if name != "ip"}
    broken["listen"] = {"front": "nonsense"}
    broken["bounds"] = ["grace=soon"]
    with pytest.raises(FindingsError) as caught:
        decode_node_settings(broken)
    pointers = {finding.pointer for finding in caught.value.exceptions}
    assert {"/ip", "/listen/front", "/listen/ready", "/bounds"} <= pointers


def test_unreadable_settings_file_is_named_in_the_error(tmp_path):
    with pytest.raises(HeathercleatError, match="nowhere"):
        load_node_settings(str(tmp_path / "nowhere.yaml"))


def test_settings_are_read_from_yaml(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(yaml.safe_dump(SETTINGS))
    with pytest.raises(ValueError, match="Expecting value"):
        json.loads(path.read_text())
    assert load_node_settings(str(path)).vm == "vm-1"


@pytest.mark.parametrize(
    "bounds",
    [
        ["grace=4s", "budgetSlack=178", "strictRevoke=true", "revoke=5000ms"],
        {"grace": "4s", "budgetSlack": 178, "strictRevoke": True, "revoke": "5000ms"},
    ],
    ids=["texts", "table"],
)
def test_bounds_are_read_as_texts_and_as_a_table(bounds):
    read = decode_node_settings({**SETTINGS, "bounds": bounds}).bounds
    assert (read.stop_grace, read.retry_slack, read.revocation) == (4.0, 178.0, 5.0)


@pytest.mark.parametrize("bounds", [["grace=soon"], {"grace": "soon"}, {"grace": 4}])
def test_malformed_bounds_are_reported(bounds):
    with pytest.raises(FindingsError):
        decode_node_settings({**SETTINGS, "bounds": bounds})
