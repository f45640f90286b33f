"""Ranking of failure domains by latency, including that of dependencies.

A target calls the services that its own service depends on, so the latency of a request
is that from the caller to the target plus that from the target to its dependencies.
"""


class DomainRanking:
    """Ranks failure domains for callers at one instant.

    :param text: the :class:`Text` in force.
    :param wall_time: epoch seconds, which determine the drains in force.
    :param avoided: failure domains that are ranked last.
    """

    def __init__(self, text, wall_time, avoided=frozenset()):
        self._text = text
        self._wall_time = wall_time
        self._avoided = avoided
        self._serving_domains = {}

    def serving_domains(self, service):
        """Return the failure domains where a service has undrained targets."""
        domains = self._serving_domains.get(service.name)
        if domains is None:
            domains = self._serving_domains[service.name] = {
                target.failure_domain
                for target in service.targets.values()
                if not self._text.find_drain(target, self._wall_time)
            }
        return domains

    def dependency_latency(self, service, domain):
        """Return the total one-way latency from a domain to a service's dependencies.

        In seconds. A dependency without targets is ignored, because it has the same
        effect on all domains.
        """
        return sum(
            min(
                (
                    self._text.latency_between(domain, other)
                    for other in self.serving_domains(each)
                ),
                default=0.0,
            )
            for each in self._dependencies(service)
        )

    def rank_domains(self, service, caller_domain):
        """Return all failure domains in order of preference for a caller's domain.

        Domains that serve the service and are not avoided come first. The order is by
        total latency including dependencies, then by latency from the caller.
        """
        serving_domains = self.serving_domains(service)

        def sort_key(domain):
            latency = self._text.latency_between(caller_domain, domain)
            total = latency + self.dependency_latency(service, domain)
            is_last_choice = domain not in serving_domains or domain in self._avoided
            return is_last_choice, total, latency, domain

        return sorted(self._text.failure_domains, key=sort_key)

    def _dependencies(self, service):
        return [self._text.services[name] for name in service.depends_on]
