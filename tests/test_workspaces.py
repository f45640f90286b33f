"""Tests that keys are decoded, authenticated and kept from targets."""

import json

import pytest

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.platform.decode import decode_config
from heathercleat.platform.headers import parse_client_head, replace_identity
from heathercleat.platform.settings import decode_node_settings
from heathercleat.steering.process.configuration_freshness import (
    MAX_REFUSAL_PROOF_SECONDS,
    ConfigurationFreshness,
)
from heathercleat.steering.request.authentication import Authenticator
from heathercleat.steering.request.refusals import Refusals
from heathercleat.steering.version.workspaces import Workspace
from tests.platform_samples import SETTINGS, config, workspace
from tests.steering_parts import route

REVOCATION_SECONDS = 5.0


def decode(*workspaces):
    document = {**config(), "tenants": list(workspaces)}
    return decode_config(json.dumps(document).encode())


class Entrance:
    """An authenticator with a proof of the newest configuration from instant 100."""

    def __init__(self, *workspaces, revocation=REVOCATION_SECONDS):
        self.table = decode(*workspaces)
        self.freshness = ConfigurationFreshness(lambda: self.table.version)
        self.freshness.record_read(100.0)
        bounds = decode_node_settings(SETTINGS).bounds
        bounds.revocation = revocation
        self.authenticator = Authenticator(
            self.freshness, bounds, Refusals(self.freshness)
        )

    def authenticate(self, *keys, arrived_at=100.0, is_public=False):
        """Return the name of the workspace or the code of the error."""
        target_route = route()
        target_route.is_public = is_public
        try:
            found = self.authenticator.authenticate(
                self.table.workspaces, target_route, keys, arrived_at
            )
        except RequestError as error:
            return error.code
        return found and found.name


def test_each_key_of_a_workspace_identifies_it():
    entrance = Entrance(workspace("w1", "k1", "k2"), workspace("w2", "k3"))
    found = [entrance.authenticate(key) for key in (b"k1", b"k2", b"k3")]
    assert found == ["w1", "w1", "w2"]


@pytest.mark.parametrize("keys", [(), (b"other",), (b"",), (b"k1", b"k1"), (b"K1",)])
def test_requests_without_one_known_key_are_refused(keys):
    entrance = Entrance(workspace("w1", "k1"))
    assert entrance.authenticate(*keys) is ResultCode.UNKNOWN_KEY


def test_public_routes_need_no_key_and_no_proof():
    entrance = Entrance(workspace("w1", "k1"))
    assert entrance.authenticate(is_public=True, arrived_at=1000.0) is None
    assert entrance.authenticate(b"other", is_public=True) is None


def test_without_workspaces_no_key_is_needed():
    entrance = Entrance()
    entrance.table = decode_config(json.dumps(config()).encode())
    assert entrance.authenticate(arrived_at=1000.0) is None


@pytest.mark.parametrize(
    ("seconds", "expected"),
    [(4.9, "w1"), (5.1, ResultCode.CONFIGURATION_STALE)],
)
def test_keys_are_refused_without_a_recent_proof(seconds, expected):
    entrance = Entrance(workspace("w1", "k1"))
    assert entrance.authenticate(b"k1", arrived_at=100.0 + seconds) == expected


def test_unknown_key_is_not_called_unknown_without_a_recent_proof():
    entrance = Entrance(workspace("w1", "k1"))
    found = entrance.authenticate(b"new", arrived_at=106.0)
    assert found is ResultCode.CONFIGURATION_STALE


def test_key_is_not_called_unknown_without_a_proof_where_removals_have_no_bound():
    entrance = Entrance(workspace("w1", "k1"), revocation=None)
    late = 100.0 + MAX_REFUSAL_PROOF_SECONDS
    assert entrance.authenticate(b"new", arrived_at=late) is ResultCode.UNKNOWN_KEY
    found = entrance.authenticate(b"new", arrived_at=late + 0.1)
    assert found is ResultCode.CONFIGURATION_STALE
    assert entrance.authenticate(b"k1", arrived_at=late + 0.1) == "w1"


def justified(seconds, *reports, restored_at=None):
    """Return whether refusals are justified some seconds after a read at 100."""
    freshness = ConfigurationFreshness(lambda: 7)
    freshness.record_read(100.0)
    if restored_at is not None:
        freshness.require_newer_proof(restored_at)
    for version, sent_at, age in reports:
        freshness.record_report("vm-2", version, sent_at, age)
    return freshness.justifies_refusals(100.0 + seconds)


@pytest.mark.parametrize(
    ("seconds", "reports", "restored_at", "expected"),
    [
        (MAX_REFUSAL_PROOF_SECONDS, [], None, True),
        (MAX_REFUSAL_PROOF_SECONDS + 0.1, [], None, False),
        (20.0, [(7, 118.0, 2.0)], None, True),
        (1.0, [(8, 101.0, 0.5)], None, False),
        (1.0, [], 100.5, False),
        (4.0, [(7, 104.0, 1.0)], 100.5, True),
        (4.0, [(7, 104.0, 3.8)], 100.5, False),
    ],
)
def test_refusals_need_a_recent_proof_from_after_the_last_restore(
    seconds, reports, restored_at, expected
):
    assert justified(seconds, *reports, restored_at=restored_at) is expected


def test_proof_of_a_newer_version_is_not_adopted_before_the_version():
    freshness = ConfigurationFreshness(lambda: 7)
    freshness.record_report("vm-2", 7, 20.0, None)
    freshness.record_report("vm-2", 8, 52.0, 2.0)
    assert freshness.proven_at is None
    freshness.record_report("vm-3", 7, 43.0, 25.0)
    freshness.record_report("vm-4", 6, 42.0, 26.0)
    assert freshness.proven_at == 18.0


@pytest.mark.parametrize(
    ("workspaces", "message"),
    [
        ([{**workspace("w1"), "apiKeys": ["k1", 7]}], "a list of non-empty strings"),
        ([workspace("w1", "k1"), workspace("w2", "k1")], "share a key"),
        ([workspace("w1", "k1"), workspace("w1", "k2")], "defined twice"),
        ([workspace("w1", "k1", rate=-1)], 'ratePerS" is -1'),
        ([workspace("w1", "k1", burst=-0.5)], 'burst" is -0.5'),
        ([workspace("w\n1", "k1")], "a valid header value"),
        ([workspace("", "k1")], "a non-empty string"),
    ],
)
def test_configuration_with_a_malformed_workspace_is_refused_whole(workspaces, message):
    with pytest.raises(ValueError, match=message) as caught:
        decode(*workspaces)
    assert "k1" not in str(caught.value)


def test_workspace_priority_goes_before_that_of_the_route():
    assert route(priority=2).restricted_to(Workspace("w", priority=0)).priority == 0
    assert route(priority=2).restricted_to(Workspace("w")).priority == 2


@pytest.mark.parametrize(
    ("of_route", "of_workspace", "expected"),
    [
        ((), ("north",), {"north"}),
        (("north", "south"), ("north",), {"north"}),
        (("north",), (), {"north"}),
        (("north",), ("south",), None),
    ],
)
def test_regions_of_route_and_workspace_both_apply(of_route, of_workspace, expected):
    restricted = route(regions=of_route).restricted_to(
        Workspace("w", regions=frozenset(of_workspace))
    )
    assert (restricted and restricted.regions) == expected


def test_workspace_replaces_the_key_and_names_that_the_client_sent():
    headers = [
        (b"x-api-key", b"k1"),
        (b"x_api_key", b"k1"),
        (b"tenant-id", b"other"),
        (b"tenant_id", b"other"),
        (b"tenant-id", b"another"),
        (b"accept", b"*/*"),
    ]
    assert parse_client_head(headers).keys == (b"k1",)
    assert list(replace_identity(headers, Workspace("w1"))) == [
        (b"accept", b"*/*"),
        (b"tenant-id", b"w1"),
    ]
    assert list(replace_identity(headers, None)) == [(b"accept", b"*/*")]
