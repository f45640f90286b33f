"""What requests may cost others: by themselves, by their sender and as strangers.

The quarantine of one request does not hold a caller that sends another one each time.
So ends are laid to groups as well, but only where nothing speaks for a request: one
that a target has answered whole runs on, whatever else its sender sends; and a sender
that a service answered is no stranger to it. As with requests, a whole answer clears a
sender of all ends that are known then; one to a stranger says nothing of another, and
clears strangers of one end. So ends by no request's fault hold nobody who is served.
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
from heathercleat.steering.request.fingerprint import sender

#: Senders with whole answers that are remembered: about a megabyte.
MAX_SENDERS = 8192
#: Trials that are remembered; those that are over are dropped first.
MAX_TRIALS = 1024


class Trial:
    """The one request of a group that is under way to see whether it ends its target.

    :param fingerprint: what tells it from others; a client may give all the same id.
    :param until: instant at which it is over at the latest.
    """

    __slots__ = ("fingerprint", "until")

    def __init__(self, fingerprint, until):
        self.fingerprint = fingerprint
        self.until = until


class Containment:
    """Decides which requests are refused or not repeated since targets end.

    It stands at the VM that a client's request came to: that one sees the answers to a
    sender, whoever owns the targets.

    :param suspects: the :class:`Suspects`, which VMs share.
    """

    def __init__(self, suspects, clock):
        self._suspects = suspects
        self._clock = clock
        # By service and sender. What a sender sends is first answered as unproven, so
        # that proven requests need no look at who sent them.
        self._senders = RecentResponses(MAX_SENDERS)
        self._trials = {}

    def refusal(self, call):
        """Return the :class:`RequestError` with which to refuse a request, or ``None``.

        To be asked before each try, until one has run. Where the time of a group is
        over it makes the request the group's trial, if there is none.
        """
        if call.groups is None:
            call.groups = self._groups_of(call)
        if not self._suspects.count:
            return None
        until = self._suspects.refused_until(call.fingerprint)
        if until is not None:
            return _quarantined(call, until)
        call.confined = self._is_suspected(call)
        waits = [self._suspects.refused_until(key) for key in call.groups]
        until = max(filter(None, waits), default=None) or self._join_trials(call)
        if until is None:
            return None
        message = f"targets ended under requests of {', '.join(call.groups)}"
        return RequestError(ResultCode.GROUP_LIMITED, message, retry_at=until)

    def owner_refusal(self, call):
        """Return the :class:`RequestError` where the owner of a target refused.

        It may know of an end before the news of it has come here.
        """
        until = self._suspects.refused_until(call.fingerprint)
        return _quarantined(call, until or self._clock.now() + QUARANTINE_SECONDS)

    def may_retry(self, call):
        """Return whether a request may be sent to one more target in one attempt."""
        keys = (call.fingerprint, *(call.groups or ()))
        return all(self._suspects.may_retry(key) for key in keys)

    def record_result(self, call, result, is_own):
        """Take the :class:`AttemptResult` of a try.

        What the owner of the target saw is taken at once: its own news of it takes a
        heartbeat or more.

        :param is_own: whether this VM is the owner, which noted it for the request.
        """
        keys = call.groups or ()
        if not is_own:
            keys = (call.fingerprint, *keys)
        if result.ended is not None:
            call.confined = True
            where = call.route.name, call.service
            for key in keys:
                self._suspects.ended(key, result.ended, *where)
        elif result.end is AttemptOutcome.ANSWERED:
            self._answered(call, keys)
        if self._trials and not result.end.not_run:
            self._end_trials(call)

    def _groups_of(self, call):
        """Return the keys of the groups that ends under a request are laid to."""
        if self._suspects.has_response(call.fingerprint):
            return ()
        service, route = call.service, call.route.name
        strangers = unknown_senders_key(service, route)
        call.sender = sender(call.headers)
        if call.sender is None:
            return (strangers,)
        own = sender_key(service, route, call.sender)
        is_known = (service, call.sender) in self._senders
        return (own,) if is_known else (own, strangers)

    def _is_suspected(self, call):
        """Return whether an end is to be expected of a request more than of others."""
        limited = (self._suspects.is_limited(key) for key in call.groups)
        return self._suspects.has_crashes(call.fingerprint) or any(limited)

    def _answered(self, call, keys):
        for key in keys:
            self._suspects.answered(key)
        if call.sender is not None:
            self._senders.note((call.service, call.sender), self._clock.now())

    def _join_trials(self, call):
        """Make a request the trial of its groups that are limited.

        :return: the instant at which to come back where there is one already, or
            ``None``.
        """
        now = self._clock.now()
        limited = [key for key in call.groups if self._suspects.is_limited(key)]
        for key in limited:
            trial = self._trials.get(key)
            if trial is None or trial.fingerprint == call.fingerprint:
                continue
            if trial.until > now:
                return trial.until
        for key in limited:
            self._remember(key, Trial(call.fingerprint, call.deadline))
        return None

    def _remember(self, key, trial):
        if len(self._trials) >= MAX_TRIALS:
            now = self._clock.now()
            self._trials = {
                key: each for key, each in self._trials.items() if each.until > now
            }
        self._trials[key] = trial

    def _end_trials(self, call):
        for key in call.groups or ():
            trial = self._trials.get(key)
            if trial is not None and trial.fingerprint == call.fingerprint:
                del self._trials[key]


def _quarantined(call, until):
    message = f"targets ended under the request {call.fingerprint}"
    return RequestError(ResultCode.QUARANTINED, message, retry_at=until)
