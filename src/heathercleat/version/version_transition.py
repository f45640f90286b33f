"""Limits while a new version of the configuration propagates.

Limits of regions, links and shift caps are divided over the targets, and each home
enforces the shares of its targets. While some homes still use an earlier version, the
shares of both versions could add up to more than either allows. Until the new version
has reached all homes, each home therefore uses the smaller share of both versions.
"""

from dataclasses import dataclass, replace

#: Seconds until an accepted version is in force on all VMs.
PROPAGATION_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class SupersededText:
    """A version that other homes may use until ``expires_at``, a monotonic instant."""

    text: object
    expires_at: float


class VersionTransition:
    """The version in force at this VM and those that other VMs may still use."""

    def __init__(self):
        self._text = None
        self._superseded = []

    @property
    def text(self):
        """Return the :class:`Text` in force at this VM, or ``None``."""
        return self._text

    def adopt(self, text, now):
        """Put a version in force; the previous one restricts limits until it expires.

        :param now: a monotonic instant.
        """
        if self._text is not None:
            self._superseded.append(
                SupersededText(self._text, now + PROPAGATION_SECONDS)
            )
        self._text = text

    def expire_superseded(self, now):
        """Drop the expired versions; return whether there were any."""
        expired = [each for each in self._superseded if each.expires_at <= now]
        for each in expired:
            self._superseded.remove(each)
        return bool(expired)

    def restrict_target(self, target):
        """Return a target with the smallest of its shares in all versions."""
        for superseded in self._superseded:
            target = _with_smaller_shares(target, superseded.text)
        return target

    def restrict_links(self, target):
        """Return ``{failure domain: slots}``: the target's shares of link limits."""
        shares = link_shares(self._text, target)
        for superseded in self._superseded:
            for domain, slots in link_shares(superseded.text, target).items():
                shares[domain] = min(slots, shares.get(domain, slots))
        return shares


def link_shares(text, target):
    """Return the target's share of each link to its failure domain, in slots."""
    shares = {}
    for domain in text.failure_domains:
        limit = text.link_limit(domain, target.failure_domain)
        if limit is not None and domain != target.failure_domain:
            shares[domain] = text.link_share(limit, target)
    return shares


def _with_smaller_shares(target, text):
    """Return ``target`` with the smaller of its shares in both versions."""
    previous = text.find_target(target.name)
    if previous is None:
        return _without_shares(target, text)
    cap = target.shift_cap
    if cap is not None and previous.shift_cap is not None:
        slots = min(cap.slots, previous.shift_cap.slots)
        window = max(cap.window, previous.shift_cap.window)
        cap = replace(cap, slots=slots, window=window)
    share = target.region_share
    if text.has_region_limit(previous.failure_domain):
        share = min(share, previous.region_share)
    return replace(target, region_share=share, shift_cap=cap)


def _without_shares(target, text):
    """Return ``target`` without shares of the limits that ``text`` divides."""
    share, cap = target.region_share, target.shift_cap
    if text.has_region_limit(target.failure_domain):
        share = 0
    if cap is not None and target.service in text.services:
        cap = replace(cap, slots=0)
    return replace(target, region_share=share, shift_cap=cap)
