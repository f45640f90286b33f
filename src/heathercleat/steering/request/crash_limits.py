"""Limits on requests that crash targets.

Quarantine of single requests does not stop a client that varies its requests. A crash
is therefore counted not only against the request but also against its groups: the
sender, and all unknown senders of a service and route together. A request that has had
a complete response belongs to no group, and a sender that has had one is known. A
complete response removes all crashes counted against the sender so far, but only one of
those counted against the unknown senders.
"""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.process.quarantine.policies import (
    sender_key,
    unknown_senders_key,
)
from heathercleat.steering.process.quarantine.responses import RecentResponses
from heathercleat.steering.process.quarantine.suspects import QUARANTINE_SECONDS
from heathercleat.steering.request.attempt_result import AttemptOutcome
from heathercleat.steering.request.fingerprint import sender_digest

#: Maximum number of remembered senders with complete responses; about a megabyte.
MAX_SENDERS = 8192
#: Number of remembered trials at which expired ones are dropped.
MAX_TRIALS = 1024


class Trial:
    """The only request of a limited group that is allowed to run, as a probe.

    :param fingerprint: identifies the request; a client may reuse request ids.
    :param expires_at: when another request may replace an unfinished trial.
    """

    __slots__ = ("fingerprint", "expires_at")

    def __init__(self, fingerprint, expires_at):
        self.fingerprint = fingerprint
        self.expires_at = expires_at


class CrashLimits:
    """Decides which requests to refuse or not to retry because targets crash on them.

    Used at the VM that received the client's request, since that VM sees the responses
    to it, whichever VM owns the target.

    :param suspects: the :class:`Suspects`, shared between VMs.
    """

    def __init__(self, suspects, clock):
        self._suspects = suspects
        self._clock = clock
        # Keyed by service and sender.
        self._known_senders = RecentResponses(MAX_SENDERS)
        self._trials = {}

    def check_or_start_trial(self, call):
        """Return the :class:`RequestError` with which to refuse a request, or ``None``.

        Called before each attempt until the request may have run. Also sets the groups
        of the call and whether it needs isolation. Once a limited group is no longer
        refused, the request becomes its trial, unless another request already is.
        """
        if call.groups is None:
            call.groups = self._find_groups(call)
        if not self._suspects.count:
            return None
        retry_at = self._suspects.refused_until(call.fingerprint)
        if retry_at is not None:
            return _quarantine_error(call, retry_at)
        call.needs_isolation = self._is_suspected(call)
        retry_times = [self._suspects.refused_until(key) for key in call.groups]
        retry_at = max(filter(None, retry_times), default=None) or self._start_trials(
            call
        )
        if retry_at is None:
            return None
        message = f"targets crashed on requests of {', '.join(call.groups)}"
        return RequestError(ResultCode.GROUP_LIMITED, message, retry_at=retry_at)

    def error_after_owner_refusal(self, call):
        """Return the :class:`RequestError` to send when the owner refused the request.

        The owner may know of a crash that this VM has not received by gossip yet. The
        client is then asked to retry after the duration of a whole quarantine.
        """
        retry_at = self._suspects.refused_until(call.fingerprint)
        return _quarantine_error(
            call, retry_at or self._clock.now() + QUARANTINE_SECONDS
        )

    def may_retry(self, call):
        """Return whether a request may be retried at another target."""
        keys = (call.fingerprint, *(call.groups or ()))
        return all(self._suspects.may_retry(key) for key in keys)

    def record_result(self, call, result, is_local):
        """Record the :class:`AttemptResult` of an attempt.

        A crash that the owner reports in the result is recorded without waiting for
        the owner's next heartbeat.

        :param is_local: whether this VM owns the target. If so, the result is already
            recorded for the request itself, and only its groups are recorded here.
        """
        keys = call.groups or ()
        if not is_local:
            keys = (call.fingerprint, *keys)
        if result.crashed_incarnation is not None:
            call.needs_isolation = True
            route_and_service = call.route.name, call.service
            for key in keys:
                self._suspects.record_crash(
                    key, result.crashed_incarnation, *route_and_service
                )
        elif result.outcome is AttemptOutcome.ANSWERED:
            self._record_response(call, keys)
        if self._trials and not result.outcome.not_run:
            self._finish_trials(call)

    def _find_groups(self, call):
        """Return the keys of the groups that a crash on the request counts against."""
        if self._suspects.has_response(call.fingerprint):
            return ()
        service, route = call.service, call.route.name
        unknown_senders_group = unknown_senders_key(service, route)
        call.sender = sender_digest(call.headers)
        if call.sender is None:
            return (unknown_senders_group,)
        sender_group = sender_key(service, route, call.sender)
        is_known = (service, call.sender) in self._known_senders
        return (sender_group,) if is_known else (sender_group, unknown_senders_group)

    def _is_suspected(self, call):
        """Return whether the request is more likely than others to crash a target."""
        limited = (self._suspects.is_limited(key) for key in call.groups)
        return self._suspects.has_crashes(call.fingerprint) or any(limited)

    def _record_response(self, call, keys):
        for key in keys:
            self._suspects.record_response(key)
        if call.sender is not None:
            self._known_senders.record((call.service, call.sender), self._clock.now())

    def _start_trials(self, call):
        """Make a request the trial of its limited groups.

        :return: when to retry if another trial is running, or ``None``.
        """
        now = self._clock.now()
        limited = [key for key in call.groups if self._suspects.is_limited(key)]
        for key in limited:
            trial = self._trials.get(key)
            if trial is None or trial.fingerprint == call.fingerprint:
                continue
            if trial.expires_at > now:
                return trial.expires_at
        for key in limited:
            self._store_trial(key, Trial(call.fingerprint, call.deadline))
        return None

    def _store_trial(self, key, trial):
        if len(self._trials) >= MAX_TRIALS:
            now = self._clock.now()
            self._trials = {
                key: each for key, each in self._trials.items() if each.expires_at > now
            }
        self._trials[key] = trial

    def _finish_trials(self, call):
        for key in call.groups or ():
            trial = self._trials.get(key)
            if trial is not None and trial.fingerprint == call.fingerprint:
                del self._trials[key]


def _quarantine_error(call, retry_at):
    message = f"targets crashed on the request {call.fingerprint}"
    return RequestError(ResultCode.QUARANTINED, message, retry_at=retry_at)
