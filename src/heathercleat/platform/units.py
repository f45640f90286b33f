"""Texts of the platform that stand for numbers."""

_MILLISECONDS = "ms"


def parse_duration(text):
    """Return the seconds of a time such as ``1500ms`` or ``2.5s``.

    :raises ValueError: when the text has no such form.
    """
    if text.endswith(_MILLISECONDS):
        return float(text.removesuffix(_MILLISECONDS)) / 1000
    if text.endswith("s"):
        return float(text.removesuffix("s"))
    raise ValueError(f'"{text}" is not a time; write it like 1500ms or 2.5s')


def parse_version(text):
    """Return the number of a version such as ``r12``.

    :raises ValueError: when the text has no such form.
    """
    if not text.startswith("r"):
        raise ValueError(f'"{text}" is not a version; write it like r12')
    return int(text[1:])
