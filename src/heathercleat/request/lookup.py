"""Look-ups: which entry VMs a caller uses for a service, and until when."""

from ipaddress import AddressValueError, IPv4Address
from itertools import islice
from random import choices

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.events import Event
from heathercleat.request.ticket import issue_ticket
from heathercleat.version.drain_ramp import ramp_position
from heathercleat.version.text import Semantics

#: Entry VMs in an answer: the nearest ones first, then others to fall back on.
MAX_NEAR = 3
MAX_FAR = 3
#: Draws for each VM that an answer names, since a draw may repeat one.
DRAWS_EACH = 4


def answer_lookup(vm, query, caller):
    """Answer a look-up.

    :param query: ``service``, and ``client`` when the caller asks for another address.
    :param caller: the IP number that the look-up came from.
    :return: a JSON object; see ``docs/reference/callers.md``.
    :raises RequestError: for an unknown service, or when nothing is known here yet.
    """
    if vm.text is None:
        code = ResultCode.NO_CONFIGURATION
        raise RequestError(code, "no configuration is known here yet")
    service = vm.text.services.get(query.get("service"))
    if service is None:
        message = f'unknown service "{query.get("service", "")}"'
        raise RequestError(ResultCode.UNKNOWN_SERVICE, message)
    client = _client(query, caller)
    domain = vm.blocks.find(client) or vm.settings.failure_domain
    avoided = _avoided(vm, service, client)
    candidates = vm.candidates.find(service, domain, avoided)
    nearest = candidates[0].domain if candidates else vm.settings.failure_domain
    chosen = _choose(candidates, avoided)
    now = vm.clock.wall()
    answer = {
        "service": service.name,
        "version": vm.version,
        "vms": [_describe(vm, *each) for each in chosen],
        "expires_at": now + vm.settings.lookup_ttl,
        **_ticket(vm, service, nearest, now),
    }
    vm.journal.write(
        Event.LOOKUP_ANSWERED,
        service=service.name,
        client=client,
        domain=nearest,
        vms=[entry.name for entry, _ in chosen],
        avoided=sorted(avoided),
    )
    return answer


def _describe(vm, entry, weight):
    return {
        "vm": entry.name,
        "address": entry.host,
        "port": vm.settings.ports.caller,
        "failure_domain": entry.failure_domain,
        "weight": weight,
    }


def _avoided(vm, service, client):
    """Return the failure domains that a client is not sent to now.

    They are drained, or cannot serve all their callers yet.
    """
    drained = vm.text.avoided(client, vm.clock.wall())
    if vm.readiness.share(service) >= 1:
        return drained
    return drained | vm.readiness.avoided(service, ramp_position(client))


def _client(query, caller):
    client = query.get("client", caller)
    try:
        return str(IPv4Address(client))
    except AddressValueError:
        message = f'"{client[:40]}" is not an IPv4 address'
        raise RequestError(ResultCode.BAD_REQUEST, message) from None


def _choose(candidates, avoided):
    """Return ``(entry VM, weight)`` pairs: near ones, then one of each next domain.

    A VM to fall back on has no weight if its domain cannot serve the caller now.
    """
    if not candidates:
        return []
    near = _pick(candidates[0], MAX_NEAR)
    far = (
        (entry, 0 if other.domain in avoided else weight)
        for other in candidates[1:]
        for entry, weight in _pick(other, 1)
    )
    return [*near, *islice(far, MAX_FAR)]


def _pick(domain, count):
    """Return up to ``count`` pairs of a domain, drawn by weight.

    The weight is the number of slots of the service that the VM is the home of: a
    request that arrives there needs no lease.
    """
    drawn = choices(
        domain.weighted, cum_weights=domain.cumulative, k=DRAWS_EACH * count
    )
    # Those that were not drawn fill up a small domain.
    distinct = {entry.name: (entry, weight) for entry, weight in drawn}
    if len(distinct) < count:
        for entry, weight in domain.weighted[: DRAWS_EACH * count]:
            distinct.setdefault(entry.name, (entry, weight))
    return list(distinct.values())[:count]


def _ticket(vm, service, domain, now):
    """Return ticket fields when non-idempotent requests may be sent here."""
    needed = any(kind.semantics is Semantics.AT_MOST_ONCE for kind in service.kinds)
    if not needed or vm.leaving or domain != vm.settings.failure_domain:
        return {"ticket": None}
    expires_at = now + vm.settings.ticket_ttl
    settings = vm.settings
    ticket = issue_ticket(
        settings.keys, vm.name, vm.birth, service.name, vm.claims_wanted, expires_at
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
