"""Limits while a new version of the text spreads.

Limits of a region, a link and a shift are divided over the targets, and each home keeps
its parts by itself. While some homes follow the earlier version and others the later
one, parts of both are in use at once and may add up to more than either version allows.
A home therefore keeps to the smaller part of both until the new version is in force
everywhere.
"""

from dataclasses import dataclass, replace

#: Seconds within which an accepted version is in force everywhere.
PROPAGATION_SECONDS = 20.0


@dataclass(slots=True, frozen=True)
class SupersededText:
    """A version that other homes may still follow until an instant of this process."""

    text: object
    until: float


class VersionTransition:
    """The text in force at this VM, beside those that others may still follow."""

    def __init__(self):
        self._text = None
        self._earlier = []

    @property
    def text(self):
        """Return the text that is followed, or ``None``."""
        return self._text

    def follow(self, text, now):
        """Follow a text; the one before it counts for a while longer.

        :param now: an instant of this process.
        """
        if self._text is not None:
            self._earlier.append(SupersededText(self._text, now + PROPAGATION_SECONDS))
        self._text = text

    def expire_superseded(self, now):
        """Forget what nobody follows any more; return whether that changes limits."""
        settled = [each for each in self._earlier if each.until <= now]
        for each in settled:
            self._earlier.remove(each)
        return bool(settled)

    def target(self, target):
        """Return a target of the text with the smallest of its parts of any version."""
        for earlier in self._earlier:
            target = _smaller(target, earlier.text)
        return target

    def links(self, target):
        """Return ``{failure domain: slots}``: the target's parts of link limits."""
        parts = link_shares(self._text, target)
        for earlier in self._earlier:
            for domain, slots in link_shares(earlier.text, target).items():
                parts[domain] = min(slots, parts.get(domain, slots))
        return parts


def link_shares(text, target):
    """Return the target's part of each link limit to its failure domain, in slots."""
    parts = {}
    for domain in text.failure_domains:
        limit = text.link_limit(domain, target.failure_domain)
        if limit is not None and domain != target.failure_domain:
            parts[domain] = text.link_share(limit, target)
    return parts


def _smaller(target, text):
    """Return ``target`` with the smaller parts of its own and an earlier text."""
    known = text.find_target(target.name)
    if known is None:
        return _without_part(target, text)
    cap = target.shift_cap
    if cap is not None and known.shift_cap is not None:
        slots = min(cap.slots, known.shift_cap.slots)
        window = max(cap.window, known.shift_cap.window)
        cap = replace(cap, slots=slots, window=window)
    share = target.region_share
    if text.has_region_limit(known.failure_domain):
        share = min(share, known.region_share)
    return replace(target, region_share=share, shift_cap=cap)


def _without_part(target, text):
    """Return ``target`` without parts of what the text divides among others."""
    share, cap = target.region_share, target.shift_cap
    if text.has_region_limit(target.failure_domain):
        share = 0
    if cap is not None and target.service in text.services:
        cap = replace(cap, slots=0)
    return replace(target, region_share=share, shift_cap=cap)
