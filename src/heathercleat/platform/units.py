"""Parsers for durations and versions in the platform's formats."""

_MILLISECONDS = "ms"


def parse_duration(text):
    """Return a duration such as ``1500ms`` or ``2.5s`` in seconds.

    :raises ValueError: when ``text`` is not a duration.
    """
    if not isinstance(text, str):
        raise ValueError(f"{text!r} is not a duration; write it like 1500ms or 2.5s")
    if text.endswith(_MILLISECONDS):
        return float(text.removesuffix(_MILLISECONDS)) / 1000
    if text.endswith("s"):
        return float(text.removesuffix("s"))
    raise ValueError(f'"{text}" is not a duration; write it like 1500ms or 2.5s')


def parse_version(text):
    """Return the number of a version such as ``r12``.

    :raises ValueError: when ``text`` is not a version.
    """
    digits = text.removeprefix("r")
    if digits == text or not (digits.isascii() and digits.isdecimal()):
        raise ValueError(f'"{text}" is not a version; write it like r12')
    return int(digits)
