"""The status report of a VM, for operators."""


def status_of(vm):
    """Return the state of a VM as a JSON object.

    The limit of a target and its ``used``, ``free`` and ``foreign`` are in slots;
    ``foreign`` counts those that other failure domains use.
    """
    return {
        "vm": vm.name,
        "failure_domain": vm.settings.failure_domain,
        "version": vm.version,
        "vm_serial": vm.vm_serial,
        "incarnation": vm.incarnation,
        "leaving": vm.is_leaving,
        "may_act": vm.membership.may_act_as_home(),
        "platform_answers": vm.configuration.is_platform_available,
        "control_bytes": vm.control_bytes,
        "members": [
            {"vm": member.vm, "host": member.host, "state": member.state.value}
            for member in vm.membership.members.values()
        ],
        "vms": [
            {"vm": entry.name, "host": entry.host, "domain": entry.failure_domain}
            for entry in vm.vm_directory.entries
        ],
        "targets": [_target(vm, entry) for entry in vm.ledger.targets.values()],
        "services": [_service(vm, service) for service in _services(vm)],
    }


def _services(vm):
    return vm.text.services.values() if vm.text is not None else ()


def _target(vm, entry):
    now = vm.clock.now()
    return {
        "target": entry.target.name,
        "service": entry.target.service,
        "slots": entry.target.slots,
        "limit": entry.limit(now),
        "used": entry.used(now),
        "free": entry.free(now),
        "foreign": entry.foreign(now),
        "blocked": entry.block_reason,
        "slow": vm.health.is_slow(entry),
    }


def _service(vm, service):
    now, name = vm.clock.now(), service.name
    entries = vm.ledger.of_service(name)
    return {
        "service": name,
        "slots": sum(entry.target.limit for entry in entries),
        "free": sum(entry.free(now) for entry in entries),
        "waiting": vm.admission.waiting_count(name),
        "ready_share": vm.readiness.ready_share(service),
        "leased": sum(lease.slots for lease in vm.lease_holder.leases_for(name)),
    }
