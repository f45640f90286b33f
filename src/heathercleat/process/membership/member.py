"""The state of one VM in the membership view of another."""

from dataclasses import dataclass
from enum import Enum

from heathercleat.process.clock import DISTANT_PAST

#: Seconds for which an acknowledged heartbeat permits a VM to act as a home.
HOME_LEASE_SECONDS = 1.0
#: Seconds without a heartbeat after which a monitor declares a VM dead.
DEAD_AFTER_SECONDS = 1.5


class MemberState(Enum):
    """The state of a VM in the membership."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


STATE_PRECEDENCE = {MemberState.LIVE: 0, MemberState.LEAVING: 1, MemberState.DEAD: 2}


@dataclass(slots=True)
class Member:
    """A VM of this failure domain.

    Instants are of ``clock.now()``:

    - ``heartbeat_silent_since``: last heartbeat from the member, moved forward by
      pauses of this process
    - ``acked_at``: when the last heartbeat that the member acknowledged was sent
    - ``silent_since``: last heartbeat or acknowledgement from the member, moved forward
      by pauses of this process
    - ``last_heartbeat_at``: last heartbeat from the member
    - ``died_at``: when the member was declared dead

    ``previous_incarnation`` is ``None`` unless heartbeats of the previous incarnation
    were received until it ended. ``has_exited`` means that the host refused
    connections: the process has exited, and its requests with it.
    """

    vm: str
    host: str
    incarnation: int
    state: MemberState
    heartbeat_silent_since: float
    acked_at: float
    silent_since: float
    last_heartbeat_at: float = DISTANT_PAST
    died_at: float = DISTANT_PAST
    previous_incarnation: int | None = None
    has_exited: bool = False

    @property
    def has_heartbeats_until_end(self):
        """Return whether heartbeats were received until shortly before the end.

        A longer gap means that this VM was no longer a monitor of the member, because a
        monitor would have declared it dead earlier.
        """
        return (
            self.died_at - self.last_heartbeat_at
            <= DEAD_AFTER_SECONDS + HOME_LEASE_SECONDS
        )

    @property
    def precedence(self):
        """Return the precedence of a record: by incarnation, then by state."""
        return self.incarnation, STATE_PRECEDENCE[self.state]
