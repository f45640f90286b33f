"""Versions of the store, as integers that increase across its eras.

The store numbers its changes. When it is restored from a backup, it assigns numbers
again, and its era rises. A version combines both, so that each version of a later era
is newer than all versions of an earlier one.
"""

#: Bits of the number; the era is in the bits above.
_NUMBER_BITS = 48
#: Maximum era; versions are sent as unsigned 64-bit integers.
MAX_ERA = (1 << 16) - 1


def make_version(era, number):
    """Return the version of a change.

    :param era: the store's era; 0 for a store that does not report one.
    :param number: the store's number of the change.
    :raises ValueError: when one of them is out of range.
    """
    if not 0 <= number < 1 << _NUMBER_BITS:
        raise ValueError(f"{number} is not the number of a change")
    return check_era(era) << _NUMBER_BITS | number


def check_era(era):
    """Return an era.

    :raises ValueError: when it is out of range.
    """
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"the era {era} is not between 0 and {MAX_ERA}")
    return era


def era_of(version):
    """Return the era of a version."""
    return version >> _NUMBER_BITS


def number_of(version):
    """Return the store's number of a change within its era."""
    return version & ((1 << _NUMBER_BITS) - 1)
