"""Finds the workspace of a client's request."""

from heathercleat.codes import ResultCode
from heathercleat.errors import RequestError
from heathercleat.steering.request.refusals import stale_configuration


class Authenticator:
    """Maps keys to workspaces, as long as removed keys are known.

    A VM that cannot know whether its configuration is the newest refuses all requests
    that need a key, since any key may have been removed or added.

    :param freshness: the :class:`ConfigurationFreshness`.
    :param bounds: the :class:`Bounds`, for the time until a removed key is refused.
    :param refusals: the :class:`Refusals`.
    """

    def __init__(self, freshness, bounds, refusals):
        self._freshness = freshness
        self._bounds = bounds
        self._refusals = refusals

    def authenticate(self, workspaces, route, keys, arrived_at):
        """Return the :class:`Workspace` of a request; ``None`` if it needs no key.

        A request counts as sent when it arrived, which is never earlier than that.

        :param workspaces: the :class:`WorkspaceIndex` in force, or ``None``.
        :param keys: every key that was sent, as bytes.
        :param arrived_at: when the head was read.
        :raises RequestError: if the request is refused.
        """
        if workspaces is None or route.is_public:
            return None
        if not self._freshness.was_newest(self._bounds.revocation, arrived_at):
            message = "this VM does not know whether keys have been removed"
            raise stale_configuration(message, arrived_at)
        if len(keys) != 1:
            message = f"{len(keys)} keys; send exactly one"
            raise RequestError(ResultCode.UNKNOWN_KEY, message)
        workspace = workspaces.find(keys[0])
        if workspace is None:
            message = "no workspace holds this key"
            raise self._refusals.of(ResultCode.UNKNOWN_KEY, message, arrived_at)
        return workspace
