"""A VM of a failure domain as another VM of it sees it."""

from dataclasses import dataclass
from enum import Enum

from heathercleat.process.clock import DISTANT_PAST

#: Seconds for which an acknowledged heartbeat lets a VM act as a home.
HOME_LEASE_SECONDS = 1.0
#: Seconds of silence after which a monitor presumes a VM dead.
DEAD_AFTER = 1.5


class MemberState(Enum):
    """The state of a VM as others see it."""

    LIVE = "live"
    LEAVING = "leaving"
    DEAD = "dead"


RANK = {MemberState.LIVE: 0, MemberState.LEAVING: 1, MemberState.DEAD: 2}


@dataclass(slots=True)
class Member:
    """A VM of this failure domain.

    ``heard_at`` is when its last heartbeat came; ``acked_at`` is when the last
    heartbeat that it acknowledged was sent. ``beat_at`` is when its last heartbeat
    came, and ``died_at`` when it was found dead. All are instants of this process.
    ``heard_before`` is the incarnation before this one, if it was heard to its end.
    ``gone`` tells that its host refused connections, so that its process has ended and
    with it every request that it sent.
    """

    vm: str
    host: str
    incarnation: int
    state: MemberState
    heard_at: float
    acked_at: float
    silent_from: float
    beat_at: float = DISTANT_PAST
    died_at: float = DISTANT_PAST
    heard_before: int | None = None
    gone: bool = False

    @property
    def heard_to_the_end(self):
        """Return whether heartbeats came until a monitor would have noticed the end."""
        return self.died_at - self.beat_at <= DEAD_AFTER + HOME_LEASE_SECONDS

    @property
    def rank(self):
        """Return the order of records: a later incarnation or a worse state wins."""
        return self.incarnation, RANK[self.state]
