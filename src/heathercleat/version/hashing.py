"""Rendezvous hashing (Thaler and Ravishankar, 1998) over the names of VMs."""

from functools import lru_cache
from hashlib import blake2b


@lru_cache(maxsize=65536)
def weight(key, name):
    """Return the 64-bit rendezvous weight of ``name`` for ``key``."""
    digest = blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_by_weight(key, names):
    """Return ``names`` by falling weight for ``key``."""
    return sorted(names, key=lambda name: (weight(key, name), name), reverse=True)


def assign_evenly(keys, names):
    """Divide ``keys`` over ``names``, as evenly as whole keys allow.

    Each key goes to the name of the largest weight that is not full yet (bounded loads
    as in Mirrokni, Thorup and Zadimoghaddam, 2016), so whoever has the same keys and
    names divides them alike.

    :return: ``{key: name}``; empty when there is no name.
    """
    if not names:
        return {}
    limit = -(-len(keys) // len(names))
    loads = dict.fromkeys(names, 0)
    homes = {}
    for key in sorted(keys, key=lambda key: (weight("order", key), key)):
        name = next(name for name in rank_by_weight(key, names) if loads[name] < limit)
        loads[name] += 1
        homes[key] = name
    return homes
