"""How far away a failure domain is for a request, its dependencies included.

A target calls the targets of the services that its own service depends on. A place that
is near the caller but far from them costs as much as one that is far from the caller,
so both parts of the way count.
"""


class DomainRanking:
    """Distances for the callers of one failure domain at one instant.

    :param text: the :class:`Text` in force.
    :param wall: epoch seconds, to tell which drains are in force.
    :param avoided: failure domains that come last for these callers.
    """

    def __init__(self, text, wall, avoided=frozenset()):
        self._text = text
        self._wall = wall
        self._avoided = avoided
        self._serving = {}

    def serving_domains(self, service):
        """Return the failure domains with a target of a service that is not drained."""
        domains = self._serving.get(service.name)
        if domains is None:
            domains = self._serving[service.name] = {
                target.failure_domain
                for target in service.targets.values()
                if not self._text.find_drain(target, self._wall)
            }
        return domains

    def dependency_latency(self, service, domain):
        """Return the one-way seconds from a domain to all that a service depends on.

        A dependency that nothing serves adds nothing: it is as far from everywhere.
        """
        return sum(
            min(
                (
                    self._text.distance(domain, other)
                    for other in self.serving_domains(each)
                ),
                default=0.0,
            )
            for each in self._dependencies(service)
        )

    def rank_domains(self, service, caller_domain):
        """Return every failure domain, the best one for a caller's domain first.

        Domains that serve come first, the shortest way with dependencies before
        others, and of two that are as far the one nearer to the caller.
        """
        serving_domains = self.serving_domains(service)

        def cost(domain):
            way = self._text.distance(caller_domain, domain)
            total = way + self.dependency_latency(service, domain)
            left = domain not in serving_domains or domain in self._avoided
            return left, total, way, domain

        return sorted(self._text.failure_domains, key=cost)

    def _dependencies(self, service):
        return [self._text.services[name] for name in service.depends_on]
