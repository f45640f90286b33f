"""Exponential moving averages by key."""


def update_moving_average(means, key, value, weight):
    """Update the average of a key with a value, in place.

    :param means: the averages by key; a new key starts at ``value``.
    :param weight: weight of the new value, 0 to 1.
    """
    mean = means.get(key, value)
    means[key] = mean + weight * (value - mean)
