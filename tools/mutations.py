"""Mutation tests: disables one mechanism at a time and checks that a test fails.

Each mutation replaces a piece of a source file in a copy of the tree and runs the tests
that must fail. ``python tools/mutations.py [NAME...]`` prints a line for each mutation
and exits with 1 if the tests pass with one.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).parent.parent
COPIED_PATHS = ("src", "tests", "standins", "bench", "tools", "pyproject.toml", "docs")
PACKAGE = "src/heathercleat"
STEERING = f"{PACKAGE}/steering"
#: Seconds after which the tests of a mutation count as failed.
TEST_TIMEOUT_SECONDS = 90


class Mutation:
    """A change of the source that disables a mechanism.

    :param name: unique; starts with the name of the rule that the mechanism enforces.
    :param file: path of the source file.
    :param old: the piece to replace; it must occur exactly once.
    :param new: the replacement.
    :param tests: the arguments for pytest.
    """

    __slots__ = ("name", "file", "old", "new", "tests")

    def __init__(self, name, file, old, new, *tests):
        self.name = name
        self.file = file
        self.old = old
        self.new = new
        self.tests = tests

    def apply(self, root):
        """Apply the change to the copy of the tree at ``root``.

        :raises ValueError: when ``old`` does not occur exactly once.
        """
        path = root / self.file
        text = path.read_text()
        if text.count(self.old) != 1:
            count = text.count(self.old)
            message = f"{self.name}: {self.old!r} occurs {count} times, not once"
            raise ValueError(message)
        path.write_text(text.replace(self.old, self.new))


MUTATIONS = (
    Mutation(
        "LIMIT-pacing",
        f"{STEERING}/process/capacity/owned_target.py",
        "            self._pacer.withdraw(self.rate, now)",
        "            pass",
        "tests/test_pacing.py",
        "tests/test_target_notices.py",
    ),
    Mutation(
        "LIMIT-affinity",
        f"{STEERING}/process/capacity/admission.py",
        "if preferred and not self._accepts_requests(preferred):",
        "if False:",
        "tests/test_pacing.py",
        "tests/test_closed_targets.py",
    ),
    Mutation(
        "LIMIT-overdraft-after-wait",
        f"{STEERING}/process/capacity/admission.py",
        "overdraft, now, now - OVERDRAFT_WAIT_SECONDS)",
        "overdraft, now)",
        "tests/test_pacing.py",
    ),
    Mutation(
        "LIMIT-overdraft-rejections",
        f"{STEERING}/process/capacity/owned_target.py",
        "self.health.rejection_rate > MAX_OVERDRAFT_REJECTIONS:",
        "False:",
        "tests/test_pacing.py",
    ),
    Mutation(
        "LIMIT-part-of-objects",
        f"{STEERING}/process/capacity/view.py",
        "return part_of(affinity, self.entry.id) * self.entry.slots < limit",
        "return True",
        "tests/test_object_homes.py",
    ),
    Mutation(
        "LIMIT-wait",
        f"{STEERING}/process/capacity/owned_target.py",
        "return min(slots, OVERDRAFT_FACTOR * self.rate * hold_seconds)",
        "return slots",
        "tests/test_pacing.py",
    ),
    Mutation(
        "LIMIT-passed-on",
        f"{STEERING}/process/membership/gossip.py",
        "end += self._notices.pack(member.region, not is_newcomer)",
        "pass",
        "tests/test_notices.py",
        "tests/test_target_notices.py",
    ),
    Mutation(
        "DRAIN-response",
        f"{STEERING}/process/capacity/notices.py",
        "return inf if self.is_leaving else self.rest_until",
        "return self.rest_until",
        "tests/test_notices.py",
        "tests/test_target_notices.py",
    ),
    Mutation(
        "DRAIN-after-connecting",
        f"{STEERING}/request/local.py",
        "if target.accepts_requests(self._clock.now()):",
        "if True:",
        "tests/test_closed_targets.py",
    ),
    Mutation(
        "BUDGET-rest",
        f"{STEERING}/process/capacity/notices.py",
        "return inf if self.is_leaving else self.rest_until",
        "return inf if self.is_leaving else DISTANT_PAST",
        "tests/test_closed_targets.py",
        "tests/test_target_notices.py",
    ),
    Mutation(
        "BUDGET-probe",
        f"{STEERING}/process/capacity/owned_target.py",
        "if self.health.is_half_open:\n            return",
        "if False:\n            return",
        "tests/test_object_homes.py",
    ),
    Mutation(
        "BUDGET-probe-after-rest",
        f"{STEERING}/process/capacity/owned_target.py",
        "        if head.rest_seconds:\n            self.health.probe_next()\n",
        "",
        "tests/test_closed_targets.py",
    ),
    Mutation(
        "BUDGET-reopens-at",
        f"{STEERING}/process/retry_after.py",
        "return max(retry_at, closed_until)",
        "return retry_at",
        "tests/test_closed_targets.py",
    ),
    Mutation(
        "MIXED-signature",
        f"{STEERING}/request/exchange.py",
        "not head.is_signed or head.is_encoded",
        "False",
        "tests/test_steering_path.py",
        "-k",
        "broken_response",
    ),
    Mutation(
        "MIXED-request-id",
        f"{STEERING}/request/exchange.py",
        "head.request_id is not None and head.request_id != self._call.id",
        "False",
        "tests/test_steering_path.py",
        "-k",
        "stray",
    ),
    Mutation(
        "TWICE",
        f"{STEERING}/request/steer.py",
        "            not call.route.kind.is_idempotent\n            or self._run_count",
        "            self._run_count",
        "tests/test_steer.py",
        "-k",
        "may_have_run",
    ),
    Mutation(
        "REFUSED",
        f"{STEERING}/request/steer.py",
        "            raise RequestError(ResultCode.ANSWER_LOST, message)",
        "            pass",
        "tests/test_steer.py",
        "tests/test_soak.py",
    ),
    Mutation(
        "DENIED",
        f"{STEERING}/connection/call_reader.py",
        "                ResultCode.NO_CONFIGURATION,",
        "                ResultCode.NO_ROUTE,",
        "tests/test_steering_start.py",
    ),
    Mutation(
        "BUDGET",
        f"{STEERING}/request/steer.py",
        "        spent = budget.withdraw(now)",
        "        spent = budget.withdraw(now) or True",
        "tests/test_steer.py",
    ),
    Mutation(
        "GONE",
        f"{STEERING}/process/active_requests.py",
        "if not call.is_disconnected and call.stream.is_closed():",
        "if False:",
        "tests/test_steering_path.py",
        "-k",
        "client_that_disconnects",
    ),
    Mutation(
        "LOST",
        f"{STEERING}/process/node.py",
        "        await self._finish_requests()",
        "        self.shutdown.begin(self.clock.now(), 0.0)",
        "tests/test_steering_path.py",
        "-k",
        "planned_stop",
    ),
    Mutation(
        "LOST-send-deadline",
        f"{STEERING}/process/shutdown.py",
        "return now >= self.send_deadline(call)",
        "return False",
        "tests/test_departure.py",
        "tests/test_planned_stops.py",
    ),
    Mutation(
        "LOST-owner-send-deadline",
        f"{STEERING}/request/local.py",
        "if now >= call.send_deadline:",
        "if False:",
        "tests/test_departure.py",
    ),
    Mutation(
        "LOST-few-run-times",
        f"{STEERING}/process/capacity/run_times.py",
        "if len(self.latest) < MIN_RUNS:",
        "if not self.latest:",
        "tests/test_departure.py",
    ),
    Mutation(
        "LOST-runs-in-flight",
        f"{STEERING}/process/capacity/run_times.py",
        "max(*self.latest, *ages)",
        "max(*self.latest, 0.0)",
        "tests/test_departure.py",
    ),
    Mutation(
        "LOST-late-in-shutdown",
        f"{STEERING}/process/shutdown.py",
        "if call.arrived_at >= self._keep_alive_until:",
        "if False:",
        "tests/test_departure.py",
        "tests/test_planned_stops.py",
    ),
    Mutation(
        "LOST-short-failures-counted",
        f"{STEERING}/process/capacity/run_times.py",
        "if run.succeeded or seconds >",
        "if True or seconds >",
        "tests/test_departure.py",
    ),
    Mutation(
        "LOST-late-retries",
        f"{STEERING}/request/steer.py",
        "elif self._steering._shutdown.is_too_late(call, now):",
        "elif False:",
        "tests/test_departure.py",
    ),
    Mutation(
        "LOST-idle-connections",
        f"{STEERING}/process/node.py",
        "                self._listeners.close_idle()",
        "                pass",
        "tests/test_planned_stops.py",
        "-k",
        "persistent_connection",
    ),
    Mutation(
        "LOST-pipelined",
        f"{STEERING}/connection/client.py",
        "if self._clock.now() >= self._node.shutdown.keep_alive_until:",
        "if False:",
        "tests/test_pipelining.py",
        "-k",
        "always_pipelines",
    ),
    Mutation(
        "LOST-exclusive-request",
        f"{STEERING}/connection/pipeline.py",
        "if self._exclusive is not None:",
        "if False:",
        "tests/test_pipelining.py",
        "-k",
        "waits_for_earlier_ones",
    ),
    Mutation(
        "MIXED-order",
        f"{STEERING}/connection/pipeline.py",
        "if not self.previous.is_sent:",
        "if False:",
        "tests/test_pipelining.py",
    ),
    Mutation(
        "SHIFT-affinity-targets",
        f"{STEERING}/request/estimates.py",
        "self._response_times.for_cached_object(route.name)",
        "self._response_times.at_affinity_target(route.name)",
        "tests/test_object_homes.py",
    ),
    Mutation(
        "EJECTIONS",
        f"{STEERING}/process/capacity/ejection_limit.py",
        "ejected_count + 1 <= max(1.0, MAX_EJECTED_SHARE * len(limits))",
        "True",
        "tests/test_rests.py",
    ),
    Mutation(
        "CONFIG",
        f"{STEERING}/process/store/tables.py",
        "        if not newer_members:",
        "        if True:",
        "tests/test_steering_path.py",
        "-k",
        "refused_by_the_store",
    ),
    Mutation(
        "ROUTE",
        "src/heathercleat/platform/headers.py",
        "    yield EXPECTED_INSTANCE, target_id.encode()",
        "    del target_id",
        "tests/test_steering_path.py",
        "-k",
        "replaced_target",
    ),
    Mutation(
        "DRAIN-lapse-deadline",
        f"{STEERING}/process/node.py",
        "            self._registry.expire()\n",
        "",
        "tests/test_target_departures.py",
    ),
    Mutation(
        "DRAIN-outage-of-one-vm",
        f"{STEERING}/process/store/follower.py",
        "        if outage.is_total:\n            self._on_store_return",
        "        if True:\n            self._on_store_return",
        "tests/test_target_departures.py",
        "tests/test_follower.py",
    ),
    Mutation(
        "DRAIN-lapse-extended",
        f"{STEERING}/process/capacity/registry.py",
        "            until = min(until, current_until)\n",
        "            pass\n",
        "tests/test_lapses.py",
        "tests/test_registry.py",
    ),
    Mutation(
        "DRAIN-lapse-known-by-peers",
        f"{STEERING}/process/capacity/registry.py",
        "            if remaining_use_seconds is not None:\n",
        "            if False:\n",
        "tests/test_registry.py",
    ),
    Mutation(
        "DRAIN-removed-row-relayed",
        f"{STEERING}/process/store/table_copy.py",
        "            self._rows.pop(row.key, None)\n",
        "",
        "tests/test_lapses.py",
    ),
    Mutation(
        "DRAIN-older-row-version",
        f"{STEERING}/process/store/table_copy.py",
        "row.version <= (known.version if known else self._removal_version(row.key))",
        "False",
        "tests/test_follower.py",
        "-k",
        "earlier_change",
    ),
    Mutation(
        "GONE-owner-notified",
        f"{STEERING}/request/forward.py",
        "call.on_disconnect = StreamInterrupter(stream)",
        "call.on_disconnect = call.route.kind.is_idempotent and "
        "StreamInterrupter(stream) or None",
        "tests/test_callers_that_leave.py",
    ),
    Mutation(
        "DRAIN-removed-between-pages",
        "src/heathercleat/platform/store.py",
        'version = response["ver"] if version is None else version',
        'version = response["ver"]',
        "tests/test_table_store.py",
        "-k",
        "between_two_pages",
    ),
    Mutation(
        "DRAIN-delayed-report",
        f"{STEERING}/process/capacity/target.py",
        "return self.sequence < other.sequence",
        "return False",
        "tests/test_target_incarnations.py",
        "-k",
        "delayed",
    ),
    Mutation(
        "DRAIN-delayed-report-of-removed-target",
        f"{STEERING}/process/capacity/registry.py",
        "        if before is None and removed_target is not None:\n",
        "        if False:\n",
        "tests/test_target_incarnations.py",
        "tests/test_registry.py",
        "-k",
        "delayed or old_entry",
    ),
    Mutation(
        "INCARNATION-slots",
        f"{STEERING}/process/capacity/slots.py",
        "if target is None or not target.entry.is_same_incarnation(entry):",
        "if target is None:",
        "tests/test_target_incarnations.py",
        "-k",
        "previous_incarnation",
    ),
    Mutation(
        "FOREIGN-entry-replaces-a-good-one",
        f"{STEERING}/process/store/tables.py",
        "row.key for row in rows if row.key not in decoded",
        "row.key for row in rows if False",
        "tests/test_target_incarnations.py",
        "-k",
        "another_writer",
    ),
    Mutation(
        "EVAC",
        f"{STEERING}/process/capacity/registry.py",
        "entry.failure_domain not in self._evacuated",
        "True",
        "tests/test_steering_path.py",
        "tests/test_registry.py",
        "-k",
        "evacuat",
    ),
    Mutation(
        "FAILBACK",
        f"{STEERING}/process/capacity/owned_target.py",
        "if now < self.cold_until and self.cold_limit is not None:",
        "if False:",
        "tests/test_owned_slots.py",
    ),
    Mutation(
        "SHIFT",
        f"{STEERING}/process/capacity/region_shift.py",
        "        return self._moved + 1 <= limit",
        "        return True or limit",
        "tests/test_limits.py",
    ),
    Mutation(
        "HOME",
        f"{STEERING}/version/routing.py",
        "return not self.regions or region in self.regions",
        "return True",
        "tests/test_steer.py",
        "tests/test_steering_path.py",
        "-k",
        "regions",
    ),
    Mutation(
        "RECOVER",
        f"{STEERING}/process/membership/gossip.py",
        "now >= self._next_full_round_at or self._is_starting()",
        "now >= self._next_full_round_at",
        "tests/test_membership.py",
        "-k",
        "soon",
    ),
    Mutation(
        "MEMBERS-refutation",
        f"{STEERING}/process/membership/members.py",
        "        if own_update.fields() != update.fields():",
        "        if False:",
        "tests/test_membership.py",
    ),
    Mutation(
        "MEMBERS-suspicion",
        f"{STEERING}/process/membership/members.py",
        "            self.topology.extend_monitoring(member.failure_domain)",
        "            pass",
        "tests/test_membership.py",
        "-k",
        "cut_off",
    ),
    Mutation(
        "MEMBERS-repair",
        f"{STEERING}/process/membership/gossip.py",
        "        if digests <= {members.digest}:",
        "        if True:",
        "tests/test_membership.py",
    ),
    Mutation(
        "STOP-announced-once",
        f"{STEERING}/process/membership/gossip.py",
        "        self._leaving_until = self._clock.now() + LEAVE_SECONDS\n",
        "",
        "tests/test_fleet_stops.py",
        "-k",
        "leave",
    ),
    Mutation(
        "STOP-not-announced-to-leaving-vms",
        f"{STEERING}/process/membership/gossip.py",
        "        if member.is_serving or self._members.topology.is_mesh:\n",
        "        if True:\n",
        "tests/test_fleet_stops.py",
        "-k",
        "leave",
    ),
    Mutation(
        "STOP-overload-of-first-restarted-vms",
        f"{STEERING}/process/directory.py",
        "        if len(in_domain) >= min_count:\n",
        "        if True:\n",
        "tests/test_look_ups.py",
    ),
    Mutation(
        "STOP-short-lookup-ttl",
        f"{STEERING}/process/directory.py",
        "return LOOKUP_TTL_SECONDS if is_stable else SHORT_LOOKUP_TTL_SECONDS\n",
        "return LOOKUP_TTL_SECONDS\n",
        "tests/test_look_ups.py",
        "-k",
        "short",
    ),
    Mutation(
        "SIZE-members-read-by-all",
        f"{STEERING}/process/store/tables.py",
        "is_mesh or self.is_reader()",
        "is_mesh or True",
        "tests/test_fleet_stops.py",
        "-k",
        "rows",
    ),
    Mutation(
        "STOP-no-heartbeat-to-restarted-vm",
        f"{STEERING}/process/membership/gossip.py",
        " or before.incarnation != heartbeat.own.incarnation",
        "",
        "tests/test_fleet_stops.py",
        "-k",
        "starts_again",
    ),
    Mutation(
        "STOP-first-heartbeats-in-small-fleets-only",
        f"{STEERING}/process/membership/gossip.py",
        "        if self._is_starting():\n            # This VM may",
        "        if False:\n            # This VM may",
        "tests/test_membership.py",
        "-k",
        "before_it_sends_any",
    ),
    Mutation(
        "SIZE-long-silence-at-start",
        f"{STEERING}/process/membership/gossip.py",
        "min(unseen / MAX_HEARTBEATS_PER_SECOND, IDLE_INTERVAL_SECONDS)",
        "unseen / MAX_HEARTBEATS_PER_SECOND",
        "tests/test_membership.py",
        "-k",
        "silent_for_long",
    ),
    Mutation(
        "SIZE-first-heartbeats-to-all",
        f"{STEERING}/process/membership/gossip.py",
        "return sample(unseen, min(MAX_CONTACTED, len(unseen)))",
        "return unseen",
        "tests/test_membership.py",
        "-k",
        "first_heartbeats",
    ),
    Mutation(
        "SIZE-updates-to-all",
        f"{STEERING}/process/membership/gossip.py",
        "        if not kind.is_partner:\n",
        "        if False:\n",
        "tests/test_membership.py",
        "-k",
        "partner",
    ),
    Mutation(
        "SIZE-updates-repeated",
        f"{STEERING}/process/membership/pending_updates.py",
        "SEND_HEARTBEATS = 2.5",
        "SEND_HEARTBEATS = 25",
        "tests/test_membership.py",
        "-k",
        "few_times",
    ),
    Mutation(
        "SIZE-owners-recomputed",
        f"{STEERING}/process/membership/members.py",
        "        if owner_candidates == self._owner_candidates:\n",
        "        if False:\n",
        "tests/test_membership.py",
        "-k",
        "owners",
    ),
    Mutation(
        "HANDOVER-last-owners",
        f"{STEERING}/process/membership/members.py",
        "        return self.strong_serving() or self.strong_leaving()\n",
        "        return self.strong_serving()\n",
        "tests/test_handing_over.py",
        "-k",
        "own_targets_where_none_serves",
    ),
    Mutation(
        "HANDOVER-lookups",
        f"{STEERING}/process/directory.py",
        "        candidates = serving or self._members.strong_leaving()\n",
        "        candidates = serving\n",
        "tests/test_handing_over.py",
        "-k",
        "in_lookups_only_where_none_serves",
    ),
    Mutation(
        "HANDOVER-end",
        f"{STEERING}/process/handover.py",
        "now >= self._release_deadline or ",
        "",
        "tests/test_handing_over.py",
        "-k",
        "last_vm_keeps",
    ),
    Mutation(
        "HANDOVER-more-time",
        f"{STEERING}/process/handover.py",
        "return member.stops_since > own.stops_since + MIN_STOP_DIFFERENCE_SECONDS\n",
        "return member is not own\n",
        "tests/test_handing_over.py",
        "-k",
        "too_little_time",
    ),
    Mutation(
        "HANDOVER-one-stays",
        f"{STEERING}/process/handover.py",
        " and keeper != own.vm\n",
        "\n",
        "tests/test_handing_over.py",
        "-k",
        "last_vm_of_a_region",
    ),
    Mutation(
        "HANDOVER-held-slots",
        f"{STEERING}/process/capacity/owned_target.py",
        "        other_load = self._held_slots.count(self.entry.id, now)\n",
        "        other_load = 0\n",
        "tests/test_handing_over.py",
        "-k",
        "hands_its_slots_over",
    ),
    Mutation(
        "HANDOVER-previous-owner",
        f"{STEERING}/process/capacity/slots.py",
        "            self._held_slots.add_target(\n"
        "                target_id, self._owners.previous_owner_of(target_id)\n"
        "            )\n",
        "",
        "tests/test_handing_over.py",
        "-k",
        "slots_of_the_previous_owner",
    ),
    Mutation(
        "HANDOVER-previous-owner-without-report",
        f"{STEERING}/process/capacity/held_slots.py",
        "            self._set_hold(\n"
        "                target_id,\n"
        "                former_owner,\n"
        "                Hold(_ALL_SLOTS, now + FORMER_OWNER_REPORT_SECONDS),\n"
        "            )\n",
        "            pass\n",
        "tests/test_handing_over.py",
        "-k",
        "hands_its_slots_over",
    ),
    Mutation(
        "HANDOVER-successors",
        f"{STEERING}/process/membership/gossip.py",
        "        notified = self._pop_new_owners()\n",
        "        notified = set()\n",
        "tests/test_handing_over.py",
        "-k",
        "successor",
    ),
    Mutation(
        "HANDOVER-stage-announced-at-once",
        f"{STEERING}/process/membership/gossip.py",
        "            notified.update(each.vm for each in in_domain)\n",
        "            pass\n",
        "tests/test_handing_over.py",
        "-k",
        "whole_failure_domain",
    ),
    Mutation(
        "HANDOVER-new-owners",
        f"{STEERING}/process/membership/gossip.py",
        "        live = map(self._members.find_live, self._new_owners())\n",
        "        live = []\n",
        "tests/test_handing_over.py",
        "-k",
        "without_being_a_gossip_partner",
    ),
    Mutation(
        "HANDOVER-hold-ends",
        f"{STEERING}/process/capacity/held_slots.py",
        "            if now < hold.expires_at and self._is_same_process(vm)\n",
        "            if self._is_same_process(vm)\n",
        "tests/test_handing_over.py",
        "-k",
        "Holds or lost_heartbeats",
    ),
    Mutation(
        "HANDOVER-process-exit",
        f"{STEERING}/process/capacity/held_slots.py",
        "            if now < hold.expires_at and self._is_same_process(vm)\n",
        "            if now < hold.expires_at\n",
        "tests/test_handing_over.py",
        "-k",
        "Holds",
    ),
    Mutation(
        "HANDOVER-reports-to-leaving-vms",
        f"{STEERING}/process/membership/members.py",
        "        return [*self.strong_serving(), *stopping]\n",
        "        return self.strong_serving()\n",
        "tests/test_handing_over.py",
        "-k",
        "still_receives_reports",
    ),
    Mutation(
        "SIZE-exit-of-stopping-vm",
        f"{STEERING}/process/membership/members.py",
        "            if not member.is_stopping:\n",
        "            if True:\n",
        "tests/test_handing_over.py",
        "-k",
        "adds_no_monitored_vms",
    ),
    Mutation(
        "BUDGET-stopping-vms",
        f"{STEERING}/process/membership/members.py",
        " if each.is_serving or each.is_stopping\n",
        " if each.is_serving\n",
        "tests/test_handing_over.py",
        "-k",
        "may_have_clients",
    ),
    Mutation(
        "SIZE-whole-tables",
        f"{STEERING}/process/store/table_copy.py",
        " or self._is_in_gap(version):\n",
        " or True:\n",
        "tests/test_follower.py",
        "-k",
        "only_what_changed",
    ),
    Mutation(
        "SIZE-first-read-announced",
        f"{STEERING}/process/store/follower.py",
        "        return self._announced_change_version\n",
        "        return self.last_significant_version\n",
        "tests/test_follower.py",
        "-k",
        "not_announced",
    ),
    Mutation(
        "SIZE-idle-polls",
        f"{STEERING}/process/store/follower.py",
        "IDLE_PEER_INTERVAL_SECONDS = 0.5",
        "IDLE_PEER_INTERVAL_SECONDS = 0.05",
        "tests/test_follower.py",
        "-k",
        "polled_rarely",
    ),
    Mutation(
        "LAPSE-left-to-readers",
        f"{STEERING}/process/store/follower.py",
        "        if is_probe:\n",
        "        if False:\n",
        "tests/test_follower.py",
        "-k",
        "leaves_its_changes",
    ),
    Mutation(
        "LOST-removal-in-a-gap",
        f"{STEERING}/process/store/table_copy.py",
        "return self.since < version < self.until",
        "return False",
        "tests/test_follower.py",
        "-k",
        "added_and_removed",
    ),
    Mutation(
        "QUARANTINE-third-crash",
        f"{STEERING}/process/quarantine/policies.py",
        "REQUEST_POLICY = CrashPolicy(3, 2,",
        "REQUEST_POLICY = CrashPolicy(3000, 2,",
        "tests/test_suspects.py",
        "-k",
        "third_crash",
    ),
    Mutation(
        "QUARANTINE-updates",
        f"{STEERING}/process/membership/gossip.py",
        "is_partner and differs\n",
        "False\n",
        "tests/test_quarantine_spread.py",
        "-k",
        "in_time or starts",
    ),
    Mutation(
        "QUARANTINE-repeated-until-equal",
        f"{STEERING}/process/membership/gossip.py",
        "is_partner and differs\n",
        "is_partner and bool(self._suspects.digest)\n",
        "tests/test_quarantine_spread.py",
        "-k",
        "no_updates_are_sent",
    ),
    Mutation(
        "QUARANTINE-check-after-wait",
        f"{STEERING}/request/local.py",
        "if self._suspects.refused_until(call.fingerprint) is not None:",
        "if False:",
        "tests/test_crashing_requests.py",
        "-k",
        "while_it_waited",
    ),
    Mutation(
        "SLEEP-deadline-after-wait",
        f"{STEERING}/request/local.py",
        "if now >= call.deadline:",
        "if False:",
        "tests/test_suspended_vm.py",
        "-k",
        "passed_while",
    ),
    Mutation(
        "QUARANTINE-responses",
        f"{STEERING}/process/quarantine/responses.py",
        "return responded_at is not None and now - responded_at <= EXEMPTION_SECONDS",
        "return False",
        "tests/test_suspects.py",
        "-k",
        "soon_after",
    ),
    Mutation(
        "QUARANTINE-crash-counted-once",
        f"{STEERING}/process/quarantine/suspect.py",
        "            if incarnation_id not in self.ends:\n",
        "            if True:\n",
        "tests/test_suspects.py",
    ),
    Mutation(
        "QUARANTINE-expiry",
        f"{STEERING}/process/quarantine/suspects.py",
        "if not change.any_changed:",
        "if not change.any_changed and not incarnation_ids:",
        "tests/test_suspects.py",
        "-k",
        "alive",
    ),
    Mutation(
        "QUARANTINE-store",
        f"{STEERING}/process/node.py",
        "self._suspects.on_quarantine(self._quarantines.enqueue)",
        "pass",
        "tests/test_crashing_requests.py",
        "-k",
        "outlives",
    ),
    Mutation(
        "QUARANTINE-same-crashes-kept",
        f"{STEERING}/process/quarantine/suspect.py",
        "kept = nsmallest(MAX_CRASHES, self.ends, key=self._sort_key)",
        "kept = self.ends[:MAX_CRASHES]",
        "tests/test_suspects.py",
        "-k",
        "too_many",
    ),
    Mutation(
        "QUARANTINE-linear-digest",
        f"{STEERING}/process/quarantine/suspect.py",
        "    digest = blake2b(text.encode(), digest_size=DIGEST_BYTES).digest()\n"
        '    return int.from_bytes(digest, "big")',
        "    import zlib\n    return zlib.crc32(text.encode())",
        "tests/test_suspects.py",
        "-k",
        "different_digests",
    ),
    Mutation(
        "CONTAINED-groups",
        f"{STEERING}/request/crash_limits.py",
        "        keys = call.groups or ()\n",
        "        keys = ()\n",
        "tests/test_containment.py",
        "-k",
        "bounded_number",
    ),
    Mutation(
        "CONTAINED-known-senders",
        f"{STEERING}/request/crash_limits.py",
        "return (sender_group,) if is_known else (sender_group, unknown_senders_group)",
        "return (sender_group, unknown_senders_group)",
        "tests/test_containment.py",
        "-k",
        "known_senders_are_not",
    ),
    Mutation(
        "CONTAINED-proven-requests",
        f"{STEERING}/request/crash_limits.py",
        "if self._suspects.has_response(call.fingerprint):",
        "if False:",
        "tests/test_containment.py",
        "-k",
        "whatever_its_sender or popular_request",
    ),
    Mutation(
        "CONTAINED-responses",
        f"{STEERING}/process/quarantine/responses.py",
        "return now - credits.popleft() <= EXEMPTION_SECONDS or self.claim_exemption(\n"
        "            key, now\n        )",
        "return False",
        "tests/test_containment.py",
        "-k",
        "at_once_after",
    ),
    Mutation(
        "CONTAINED-one-trial",
        f"{STEERING}/request/crash_limits.py",
        "            if trial.expires_at > now:\n",
        "            if False:\n",
        "tests/test_containment.py",
        "-k",
        "one_trial",
    ),
    Mutation(
        "CONTAINED-longer-refusals",
        f"{STEERING}/process/quarantine/policies.py",
        "self.initial_refusal_seconds * 2 ** (count - self.refusal_threshold)",
        "self.initial_refusal_seconds",
        "tests/test_containment.py",
        "-k",
        "doubles",
    ),
    Mutation(
        "CONTAINED-cleared-forgotten",
        f"{STEERING}/process/quarantine/suspect.py",
        "return (\n"
        "            CLEARED_RETENTION_SECONDS\n"
        "            if expires_early\n"
        "            else self.policy.retention_seconds\n"
        "        )",
        "return self.policy.retention_seconds",
        "tests/test_containment.py",
        "-k",
        "leave_room",
    ),
    Mutation(
        "CONTAINED-few-targets",
        f"{STEERING}/request/destinations.py",
        "isolated = self._find_isolated(eligible) if call.needs_isolation else None",
        "isolated = None",
        "tests/test_containment.py",
        "-k",
        "one_of_few",
    ),
    Mutation(
        "QUARANTINE-crash-evidence",
        f"{STEERING}/process/capacity/crash_detector.py",
        "return entry.incarnation_id in self._crashed",
        "return True",
        "tests/test_crashing_requests.py",
        "-k",
        "keep_running",
    ),
    Mutation(
        "DRAINED-vm-asked-for-leases",
        f"{PACKAGE}/process/capacity/leases.py",
        "domain, text.placement, service, drained",
        "domain, text.placement, service",
        "tests/test_leases.py",
        "-k",
        "drained",
    ),
    Mutation(
        "UNASKED-key-reaches-targets",
        f"{PACKAGE}/platform/headers.py",
        'name.replace(b"_", b"-") not in _IDENTITY_HEADERS',
        "name != WORKSPACE_NAME",
        "tests/test_workspaces.py",
    ),
    Mutation(
        "REVOKE-no-proof-needed",
        f"{STEERING}/process/configuration_freshness.py",
        "at <= self._proven_at + max_age",
        "True",
        "tests/test_proofs.py",
        "tests/test_workspaces.py",
    ),
    Mutation(
        "REVOKE-proof-of-an-unknown-version",
        f"{STEERING}/process/configuration_freshness.py",
        "version <= self._version()",
        "True",
        "tests/test_proofs.py",
        "tests/test_workspaces.py",
    ),
    Mutation(
        "REVOKE-age-of-a-proof",
        f"{STEERING}/process/membership/workspace_reports.py",
        "sent_after - age",
        "sent_after",
        "tests/test_proofs.py",
    ),
    Mutation(
        "QUOTA-unacknowledged",
        f"{STEERING}/process/quota/quota.py",
        "return unacknowledged + 1 <= part",
        "return True",
        "tests/test_quota.py",
    ),
    Mutation(
        "QUOTA-levels-before-the-start",
        f"{STEERING}/process/quota/exchange.py",
        "self._levels.raise_to(name, level)",
        "pass",
        "tests/test_quota.py",
    ),
    Mutation(
        "QUOTA-restart-of-all",
        f"{STEERING}/process/quota/levels.py",
        "return max(0.0, workspace.burst - workspace.rate * seconds)",
        "return 0.0",
        "tests/test_quota.py",
    ),
    Mutation(
        "QUOTA-cut-off",
        f"{STEERING}/process/quota/exchange.py",
        "is_minority = len(live | {own})",
        "is_minority = False and len(live | {own})",
        "tests/test_quota.py",
    ),
    Mutation(
        "DRAINED-vm-polled",
        f"{PACKAGE}/process/capacity/readiness.py",
        "available_in(domain, drained)",
        "available_in(domain)",
        "tests/test_readiness.py",
        "-k",
        "takes_over",
    ),
)


def tests_pass(mutation):
    """Return whether the tests pass in spite of the mutation."""
    with tempfile.TemporaryDirectory(prefix="mutation-") as folder:
        root = Path(folder)
        for name in COPIED_PATHS:
            source = ROOT / name
            copy = shutil.copytree if source.is_dir() else shutil.copy
            copy(source, root / name)
        mutation.apply(root)
        command = [sys.executable, "-m", "pytest", "-q", "-x", *mutation.tests]
        environment = {**os.environ, "PYTHONPATH": "src:."}
        try:
            result = subprocess.run(
                command,
                cwd=root,
                env=environment,
                capture_output=True,
                timeout=TEST_TIMEOUT_SECONDS,
            )
        except subprocess.TimeoutExpired:
            return False
    return result.returncode == 0


def main():
    """Run the mutations named in the arguments, or all of them."""
    wanted = sys.argv[1:] or [each.name for each in MUTATIONS]
    survived = []
    for mutation in MUTATIONS:
        if mutation.name not in wanted:
            continue
        if tests_pass(mutation):
            survived.append(mutation.name)
        verdict = "NOT NOTICED" if mutation.name in survived else "noticed"
        print(f"{mutation.name}: {verdict}", flush=True)
    sys.exit(1 if survived else 0)


if __name__ == "__main__":
    main()
