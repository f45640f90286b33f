"""Refusals of requests for what the configuration in force lacks."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError

#: Seconds after which a client may retry at a VM without a recent proof; other VMs may
#: have one at once.
STALE_RETRY_SECONDS = 0.3


class Refusals:
    """Decides how to refuse a request whose route or key is unknown.

    A newer configuration may have it. A VM that cannot know that its configuration is
    the newest does not give a final refusal, since clients do not retry after one.

    :param freshness: the :class:`ConfigurationFreshness`.
    """

    def __init__(self, freshness):
        self._freshness = freshness

    def of(self, code, message, arrived_at):
        """Return the :class:`RequestError` for a request.

        :param code: the :class:`ResultCode` of the final refusal.
        :param arrived_at: when the head of the request was read.
        """
        if self._freshness.justifies_refusals(arrived_at):
            return RequestError(code, message)
        return stale_configuration(
            f"{message} in the configuration here, which may not be the newest",
            arrived_at,
        )


def stale_configuration(message, arrived_at):
    """Return the error for a request that a newer configuration may allow."""
    retry_at = arrived_at + STALE_RETRY_SECONDS
    return RequestError(ResultCode.CONFIGURATION_STALE, message, retry_at)
