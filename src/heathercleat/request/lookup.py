"""Look-ups: the entry VMs that a caller should use for a service."""

from ipaddress import AddressValueError, IPv4Address
from itertools import islice
from random import choices

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.events import Event
from heathercleat.request.ticket import issue_ticket
from heathercleat.version.drain_ramp import ramp_position
from heathercleat.version.text import DeliverySemantics

#: Maximum number of entry VMs in a response from the best failure domain, and of
#: fallbacks from other domains.
MAX_NEAR_VMS = 3
MAX_FALLBACK_VMS = 3
#: Random draws for each VM in a response, since a draw may repeat an earlier one.
DRAWS_PER_VM = 4


def answer_lookup(vm, query, caller):
    """Return the response to a look-up.

    :param query: the parameters ``service`` and, to look up for another address,
        ``client``.
    :param caller: the IP address of the caller.
    :return: a JSON object; see ``docs/reference/callers.md``.
    :raises RequestError: if the service is unknown, ``client`` is invalid or this VM
        has no configuration yet.
    """
    if vm.text is None:
        code = ResultCode.NO_CONFIGURATION
        raise RequestError(code, "no configuration is known here yet")
    service = vm.text.services.get(query.get("service"))
    if service is None:
        message = f'unknown service "{query.get("service", "")}"'
        raise RequestError(ResultCode.UNKNOWN_SERVICE, message)
    client = _parse_client(query, caller)
    domain = vm.client_blocks.find(client) or vm.settings.failure_domain
    avoided = _avoided_domains(vm, service, client)
    candidates = vm.lookup_candidates.find(service, domain, avoided)
    nearest = candidates[0].domain if candidates else vm.settings.failure_domain
    selected = _select_vms(candidates, avoided)
    now = vm.clock.wall()
    response = {
        "service": service.name,
        "version": vm.version,
        "vms": [_describe(vm, *each) for each in selected],
        "expires_at": now + vm.settings.lookup_ttl,
        **_make_ticket_fields(vm, service, nearest, now),
    }
    vm.journal.write(
        Event.LOOKUP_ANSWERED,
        service=service.name,
        client=client,
        domain=nearest,
        vms=[entry.name for entry, _ in selected],
        avoided=sorted(avoided),
    )
    return response


def _describe(vm, entry, weight):
    return {
        "vm": entry.name,
        "address": entry.host,
        "port": vm.settings.ports.caller,
        "failure_domain": entry.failure_domain,
        "weight": weight,
    }


def _avoided_domains(vm, service, client):
    """Return the failure domains that a client should avoid.

    These are failure domains that are drained or can't serve all their callers yet.
    """
    drained = vm.text.avoided_domains(client, vm.clock.wall())
    if vm.readiness.ready_share(service) >= 1:
        return drained
    return drained | vm.readiness.avoided_domains(service, ramp_position(client))


def _parse_client(query, caller):
    client = query.get("client", caller)
    try:
        return str(IPv4Address(client))
    except AddressValueError:
        message = f'"{client[:40]}" is not an IPv4 address'
        raise RequestError(ResultCode.BAD_REQUEST, message) from None


def _select_vms(candidates, avoided):
    """Return ``(entry VM, weight)`` pairs of the best domain, then one of each other.

    The weight of a fallback is 0 if its domain should be avoided.
    """
    if not candidates:
        return []
    near = _draw_vms(candidates[0], MAX_NEAR_VMS)
    fallbacks = (
        (entry, 0 if other.domain in avoided else weight)
        for other in candidates[1:]
        for entry, weight in _draw_vms(other, 1)
    )
    return [*near, *islice(fallbacks, MAX_FALLBACK_VMS)]


def _draw_vms(domain, count):
    """Return up to ``count`` ``(entry VM, weight)`` pairs, drawn at random by weight.

    The weight is the number of the service's slots that the VM is the home of, since
    requests sent to their home need no lease.
    """
    drawn = choices(
        domain.weighted, cum_weights=domain.cumulative_weights, k=DRAWS_PER_VM * count
    )
    # In a small domain, the draws may yield too few distinct VMs.
    distinct = {entry.name: (entry, weight) for entry, weight in drawn}
    if len(distinct) < count:
        for entry, weight in domain.weighted[: DRAWS_PER_VM * count]:
            distinct.setdefault(entry.name, (entry, weight))
    return list(distinct.values())[:count]


def _make_ticket_fields(vm, service, domain, now):
    """Return the ticket fields of a response.

    The ticket is ``None`` if the service has no at-most-once requests or the caller
    should send them to another VM.
    """
    is_needed = any(
        kind.semantics is DeliverySemantics.AT_MOST_ONCE for kind in service.kinds
    )
    if not is_needed or vm.is_leaving or domain != vm.settings.failure_domain:
        return {"ticket": None}
    expires_at = now + vm.settings.ticket_ttl
    settings = vm.settings
    ticket = issue_ticket(
        settings.keys,
        vm.name,
        vm.instance_id,
        service.name,
        vm.requires_claims,
        expires_at,
    )
    return {
        "ticket": ticket,
        "ticket_expires_at": expires_at,
        "ticket_vm": {
            "vm": vm.name,
            "address": settings.address,
            "port": settings.ports.caller,
        },
    }
