"""Rendezvous hashing (Thaler and Ravishankar, 1998)."""

from functools import lru_cache
from hashlib import blake2b

#: Upper bound of a weight.
MAX_WEIGHT = 1 << 64


@lru_cache(maxsize=65536)
def rendezvous_weight(key, name):
    """Return the 64-bit rendezvous weight of ``name`` for ``key``."""
    digest = blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def part_of(key, name):
    """Return a number from 0 to 1 for a key and a name, independent of the weight."""
    return rendezvous_weight(f"{key}\0part", name) / MAX_WEIGHT


def rank_by_weight(key, names):
    """Return ``names`` in descending order of their weight for ``key``."""
    return sorted(
        names, key=lambda name: (rendezvous_weight(key, name), name), reverse=True
    )


def assign_evenly(keys, names):
    """Distribute ``keys`` evenly over ``names``.

    Each key goes to the name of the largest weight that is below the load limit
    (consistent hashing with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016).
    The result depends only on the keys and names.

    :return: ``{key: name}``; empty when there are no names.
    """
    if not names:
        return {}
    max_load = -(-len(keys) // len(names))
    loads = dict.fromkeys(names, 0)
    assignment = {}
    for key in sorted(keys, key=lambda key: (rendezvous_weight("order", key), key)):
        name = next(
            name for name in rank_by_weight(key, names) if loads[name] < max_load
        )
        loads[name] += 1
        assignment[key] = name
    return assignment
