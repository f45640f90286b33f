"""Exponential moving averages by key."""


def update_moving_average(means, key, value, weight):
    """Move the mean of a key towards a value; the first value is the mean.

    :param means: the mean of each key, changed in place.
    :param weight: weight of the newest value, 0 to 1.
    """
    mean = means.get(key, value)
    means[key] = mean + weight * (value - mean)
