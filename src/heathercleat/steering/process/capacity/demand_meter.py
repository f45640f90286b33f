"""Demand of the clients of this VM for slots, by service and route.

The demand is the rate of requests multiplied by the mean time of a request at a target,
so it is the mean number of slots that the requests use.
"""

from math import exp

#: Length of the intervals in which requests are counted, in seconds.
INTERVAL_SECONDS = 0.25
#: Time constant of the smoothed rate in seconds. A VM with 60 requests per second then
#: sees its rate with a standard error of 6%.
RATE_SECONDS = 2.0
#: Time constant of the mean time at targets in seconds; longer, since a few requests
#: take several times as long as the others.
RUN_SECONDS = 5.0
#: Seconds for which the present rise of the demand is added, the lag of the smoothed
#: rate.
LOOKAHEAD_SECONDS = 2.0
#: An interval that lasts longer, in seconds, is dropped: the process was suspended.
MAX_INTERVAL_SECONDS = 1.0
#: Requests per second below which a route is dropped; it has had none for 30 s or more.
MIN_RATE = 1e-6
#: Seconds of observation before the demand counts as known.
MIN_OBSERVED_SECONDS = 1.0


class Demand:
    """Demand for a service, in slots.

    :param total: all requests.
    :param movable: the requests that other regions may serve.
    :param rate: number of requests per second.
    """

    __slots__ = ("total", "movable", "rate")

    def __init__(self, total=0.0, movable=0.0, rate=0.0):
        self.total = total
        self.movable = movable
        self.rate = rate

    def add(self, other, factor=1.0):
        """Add other :class:`Demand`, multiplied by a factor."""
        self.total += factor * other.total
        self.movable += factor * other.movable
        self.rate += factor * other.rate


class DemandMeter:
    """Measures the demand of the clients of this VM."""

    def __init__(self, clock):
        self._clock = clock
        self._routes = {}
        self._interval_starts_at = clock.now()
        self._observed_seconds = 0.0

    @property
    def services(self):
        """Return the names of the services with requests."""
        return {service for service, _ in self._routes}

    def record_request(self, service, route, is_movable):
        """Record the arrival of a request, whether or not it is served.

        :param route: name of the route.
        :param is_movable: whether another region may serve the request.
        """
        self.update()
        route_meter = self._route(service, route)
        route_meter.count += 1
        route_meter.movable_count += is_movable

    def record_run(self, service, route, seconds, in_own_region):
        """Record the time of a request at a target.

        :param in_own_region: whether the target is in the region of this VM.
        """
        self._route(service, route).record_run(seconds, in_own_region)

    def demand(self, service):
        """Return the :class:`Demand` for a service, ``None`` if it is not known yet."""
        routes = [each for (name, _), each in self._routes.items() if name == service]
        observed = max(
            (each.observed_seconds for each in routes), default=self._observed_seconds
        )
        if observed < MIN_OBSERVED_SECONDS:
            return None
        known = [each.run_seconds for each in routes if each.run_seconds is not None]
        if routes and not known:
            return None
        demand = Demand()
        for route_meter in routes:
            run_seconds = route_meter.run_seconds
            # A route without a completed request takes as long as the others.
            demand.add(
                route_meter.demand(
                    sum(known) / len(known) if run_seconds is None else run_seconds
                )
            )
        return demand

    def update(self):
        """End the interval if it is long enough."""
        now = self._clock.now()
        seconds = now - self._interval_starts_at
        if seconds < INTERVAL_SECONDS:
            return
        self._interval_starts_at = now
        if seconds <= MAX_INTERVAL_SECONDS:
            self._end_interval(seconds)
        for route_meter in self._routes.values():
            route_meter.start_interval()

    def _end_interval(self, seconds):
        self._observed_seconds += seconds
        for route_meter in self._routes.values():
            route_meter.update(seconds)
        self._routes = {
            key: each for key, each in self._routes.items() if each.rate > MIN_RATE
        }

    def _route(self, service, route):
        key = service, route
        route_meter = self._routes.get(key)
        if route_meter is None:
            route_meter = self._routes[key] = _RouteMeter()
        return route_meter


class _RouteMeter:
    """Rate and mean time of the requests of a route to a service.

    The rate is smoothed twice; the difference between both averages is the rise over
    the lag of one of them.

    :ivar count: requests in this interval.
    :ivar movable_count: those of them that other regions may serve.
    :ivar rate: smoothed requests per second.
    :ivar observed_seconds: time for which requests have been counted.
    """

    __slots__ = (
        "count",
        "movable_count",
        "rate",
        "observed_seconds",
        "_lagging_rate",
        "_movable_rate",
        "_own_region_mean",
        "_other_region_mean",
    )

    def __init__(self):
        self.rate = self._lagging_rate = self._movable_rate = 0.0
        self.observed_seconds = 0.0
        self._own_region_mean = _DecayingMean()
        self._other_region_mean = _DecayingMean()
        self.start_interval()

    @property
    def run_seconds(self):
        """Return the mean time at targets, ``None`` before the first response.

        Targets of other regions count only if none of the own region has responded.
        """
        own_region = self._own_region_mean.value
        return self._other_region_mean.value if own_region is None else own_region

    def start_interval(self):
        """Start to count anew."""
        self.count = self.movable_count = 0

    def record_run(self, seconds, in_own_region):
        """Record the time of a request at a target."""
        mean = self._own_region_mean if in_own_region else self._other_region_mean
        mean.record(seconds)

    def update(self, seconds):
        """Add the counts of an interval."""
        self.observed_seconds += seconds
        # A plain mean at first, since the rate starts at 0.
        weight = max(1 - exp(-seconds / RATE_SECONDS), seconds / self.observed_seconds)
        self.rate += weight * (self.count / seconds - self.rate)
        self._lagging_rate += weight * (self.rate - self._lagging_rate)
        movable_rate = self.movable_count / seconds
        self._movable_rate += weight * (movable_rate - self._movable_rate)
        self._own_region_mean.decay(seconds)
        self._other_region_mean.decay(seconds)

    def demand(self, run_seconds):
        """Return the :class:`Demand`, with the rise that is expected.

        :param run_seconds: mean time of a request at a target.
        """
        if not self.rate:
            return Demand()
        rise = max(0.0, self.rate - self._lagging_rate)
        rate = self.rate + rise * LOOKAHEAD_SECONDS / RATE_SECONDS
        total = run_seconds * rate
        return Demand(total, total * self._movable_rate / self.rate, rate)


class _DecayingMean:
    """A mean in which older values count less."""

    __slots__ = ("value", "_sum", "_count")

    def __init__(self):
        self.value = None
        self._sum = 0.0
        self._count = 0.0

    def record(self, value):
        """Add a value."""
        self._sum += value
        self._count += 1.0
        self.value = self._sum / self._count

    def decay(self, seconds):
        """Let the values count less; the mean remains if no value follows."""
        factor = exp(-seconds / RUN_SECONDS)
        self._sum *= factor
        self._count *= factor
