"""Log lines on slow machines, limited since their speed changes often."""

from heathercleat.events import Event
from heathercleat.process.clock import DISTANT_PAST

#: Seconds between two lines of one kind; a hundred targets become slow 25 times a
#: second.
LINE_INTERVAL_SECONDS = 1.0


class SpeedLog:
    """Writes at most one line of each kind per interval, with the number left out."""

    def __init__(self, journal):
        self._journal = journal
        self._next_line_at = {}
        self._left_out = {}

    def record_response(self, target, was_slow, now):
        """Log that the machine of an owned target has become slow.

        :param target: the :class:`OwnedTarget`, with the speed in the last response.
        :param was_slow: whether it was slow before the response.
        """
        if target.speed.is_slow(now) and not was_slow:
            self._write(
                now,
                Event.MACHINE_SLOW,
                target=target.entry.id,
                service=target.entry.service,
                slowdown=target.speed.last_slowdown,
                expected_seconds=round(target.speed.remaining_seconds(now), 3),
            )

    def record_choice(self, call, slow, chosen, seconds, chosen_seconds, now):
        """Log that a request goes to another target than the usual one.

        :param slow: the :class:`Candidate` that is slow.
        :param chosen: the :class:`Candidate` that is expected to finish earlier.
        :param seconds: expected seconds until the slow one finishes.
        :param chosen_seconds: the same for the chosen one.
        """
        speed = slow.capacity.speed
        self._write(
            now,
            Event.MACHINE_AVOIDED,
            request=call.id,
            service=call.service,
            target=slow.entry.id,
            slowdown=speed.last_slowdown,
            age=round(speed.age(now), 3),
            seconds=round(seconds, 3),
            chosen=chosen.entry.id,
            chosen_seconds=round(chosen_seconds, 3),
        )

    def _write(self, now, event, **fields):
        if now < self._next_line_at.get(event, DISTANT_PAST):
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        self._next_line_at[event] = now + LINE_INTERVAL_SECONDS
        left_out = self._left_out.pop(event, 0)
        self._journal.write(event, **fields, left_out=left_out)
