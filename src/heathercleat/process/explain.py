"""Explanation of the routing of a service, for operators."""

from heathercleat.codes import ResultCode
from heathercleat.errors import HeathercleatError
from heathercleat.request.lookup import answer_lookup


def explain(vm, service_name, client):
    """Return the look-up of a client and the state of each target, nearest first.

    :param client: IP address of the client, or ``None`` for that of this VM.
    :return: a JSON object.
    :raises HeathercleatError: if the service is unknown.
    """
    text = vm.text
    service = text.services.get(service_name) if text is not None else None
    if service is None:
        message = f'unknown service "{service_name}"'
        raise HeathercleatError(ResultCode.UNKNOWN_SERVICE, message)
    client = client or vm.settings.address
    lookup = answer_lookup(vm, {"service": service_name, "client": client}, client)
    wait = vm.admission.expected_wait(service)
    return {
        "service": service_name,
        "client": client,
        "client_domain": vm.client_blocks.find(client),
        "vms": lookup["vms"],
        "ready_share": vm.readiness.ready_share(service),
        "expected_wait": None if wait == float("inf") else wait,
        "places": list(_describe_targets(vm, service)),
    }


def _describe_targets(vm, service):
    """Yield the JSON object of each target of a service, nearest first."""
    text, here = vm.text, vm.settings.failure_domain
    targets = sorted(
        service.targets.values(),
        key=lambda target: (
            text.latency_between(here, target.failure_domain),
            target.name,
        ),
    )
    for target in targets:
        yield _describe_target(
            vm, target, text.latency_between(here, target.failure_domain)
        )


def _describe_target(vm, target, latency):
    now = vm.clock.now()
    description = {
        "target": target.name,
        "failure_domain": target.failure_domain,
        "distance": latency,
        "slots": target.limit,
    }
    drain = vm.text.find_drain(target, vm.clock.wall())
    entry = vm.ledger.targets.get(target.name)
    leases = [
        lease
        for lease in vm.lease_holder.leases_for(target.service)
        if lease.target == target.name and lease.has_free_slot(now)
    ]
    if drain is not None:
        return {**description, "state": f"drained by {drain.id}", "free": 0}
    if entry is not None:
        state = entry.block_reason or "homed here"
        if vm.health.is_slow(entry):
            state = "homed here, slow"
        cost = round(vm.health.cost(entry), 6)
        return {**description, "state": state, "free": entry.free(now), "cost": cost}
    if leases:
        free = sum(lease.slots - lease.in_use for lease in leases)
        return {
            **description,
            "state": f"leased from {leases[0].granter}",
            "free": free,
        }
    return {**description, "state": "ask its home for a lease", "free": None}
