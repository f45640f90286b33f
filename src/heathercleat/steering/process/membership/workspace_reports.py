"""Part of the heartbeats that concerns workspaces.

It follows the other parts of a datagram as a message of its own, so that VMs that do
not know it ignore it. Its fields are the version of the configuration in force, the age
of its proof in seconds or ``None``, the usage reports as pairs of scope and contents by
workspace, and the sender's uptime in seconds.
"""

import msgpack


class WorkspaceReports:
    """Packs and merges proofs of the newest configuration and usage reports.

    :param freshness: the :class:`ConfigurationFreshness`.
    :param version: returns the version of the configuration in force, 0 without one.
    :param exchange: the :class:`UsageExchange`.
    """

    def __init__(self, freshness, version, exchange):
        self._freshness = freshness
        self._version = version
        self._exchange = exchange

    def receivers(self):
        """Return further VMs that get heartbeats for their usage reports."""
        return self._exchange.receivers()

    def pack(self, member, now):
        """Return the encoded message to a VM.

        :param now: the instant at which it is sent.
        """
        proven_at = self._freshness.proven_at
        age = None if proven_at is None else now - proven_at
        scopes = self._exchange.scopes_for(member) if member is not None else ()
        reports = [[scope, self._exchange.totals(scope)] for scope in scopes]
        uptime = self._exchange.uptime()
        return msgpack.packb([self._version(), age, reports, uptime])

    def merge(self, own, fields, echoed_sent_at, echo_delay):
        """Merge a message that arrived now.

        The sender's proof was recent when it sent the message. This VM only knows that
        this was after the sender received the heartbeat that it echoes, so the age is
        counted from the earliest instant that the echo allows.

        :param own: the sender's :class:`MemberUpdate` about itself.
        :param echoed_sent_at: when this VM sent the newest heartbeat that the sender
            had received; ``None`` if there is none.
        :param echo_delay: seconds from its arrival until the sender sent the message.
        :raises ValueError: when the fields are malformed.
        """
        version, age, reports, uptime = fields
        if echoed_sent_at is not None:
            sent_at = echoed_sent_at + echo_delay
            self._freshness.record_report(own.vm, version, sent_at, age)
        if reports:
            self._exchange.record(
                own.vm, own.incarnation, uptime, reports, echoed_sent_at
            )
