"""Tests that callers are sent to domains near the service and its dependencies."""

import json

import pytest

from heathercleat import parse_text
from heathercleat.version.domain_ranking import DomainRanking
from heathercleat.version.text import Drain, DrainScope
from tests.test_text import make_text

FAILURE_DOMAIN_MS = 2.0
REGION_MS = 50.0


def make_targets(service, domains):
    return {
        f"{service}-{domain}": {
            "address": f"127.0.{ord(service[0])}.{number}:9000",
            "failure_domain": domain,
            "slots": 4,
        }
        for number, domain in enumerate(domains, 1)
    }


@pytest.fixture
def text():
    """Return a text with three regions; intake depends on lookup and rules."""
    document = make_text()
    kinds = document["services"]["lookup"]["requests"]
    domains = [f"{region}-{side}" for region in ("x", "y", "z") for side in "ab"]
    document["regions"] = {
        region: {"failure_domains": [f"{region}-a", f"{region}-b"]}
        for region in ("x", "y", "z")
    }
    document["latency"] = {
        "failure_domains_ms": FAILURE_DOMAIN_MS,
        "regions_ms": REGION_MS,
    }
    document["services"] = {
        name: {"requests": kinds, "targets": make_targets(name, domains)}
        for name in ("lookup", "rules", "intake")
    }
    document["services"]["intake"]["depends_on"] = ["lookup", "rules"]
    return parse_text(json.dumps(document))


def drain(text, *targets):
    for name in targets:
        text.drains[name] = Drain(name, DrainScope.TARGET, name, 0.0)


def rank_domains(text, service, domain):
    return DomainRanking(text, 1.0).rank_domains(text.services[service], domain)


def test_nearest_domain_comes_first(text):
    assert rank_domains(text, "intake", "x-b")[:2] == ["x-b", "x-a"]


def test_domain_near_its_dependencies_comes_before_the_nearest(text):
    drain(text, "lookup-x-a", "lookup-x-b", "rules-x-a", "rules-x-b")
    assert rank_domains(text, "intake", "x-a")[0] == "y-a"
    assert rank_domains(text, "lookup", "x-a")[0] == "y-a"


def test_one_far_dependency_does_not_change_the_first_domain(text):
    drain(text, "lookup-x-a", "lookup-x-b")
    assert rank_domains(text, "intake", "x-a")[0] == "x-a"


def test_dependency_in_the_other_domain_of_the_region_adds_little(text):
    drain(text, "lookup-x-a")
    ranking = DomainRanking(text, 1.0)
    assert ranking.dependency_latency(text.services["intake"], "x-a") == pytest.approx(
        FAILURE_DOMAIN_MS / 1000
    )
    assert rank_domains(text, "intake", "x-a")[0] == "x-a"


def test_domain_without_targets_of_the_service_comes_last(text):
    drain(text, "intake-x-a")
    assert rank_domains(text, "intake", "x-a")[0] == "x-b"
    assert rank_domains(text, "intake", "x-a")[-1] == "x-a"


def test_dependency_without_targets_does_not_change_the_order(text):
    before = rank_domains(text, "intake", "x-a")
    drain(text, *text.services["lookup"].targets)
    assert rank_domains(text, "intake", "x-a") == before


def test_drain_that_has_not_begun_is_ignored(text):
    name = "lookup-x-a"
    text.drains[name] = Drain(name, DrainScope.TARGET, name, 5.0)
    assert (
        DomainRanking(text, 1.0).dependency_latency(text.services["intake"], "x-a") == 0
    )
