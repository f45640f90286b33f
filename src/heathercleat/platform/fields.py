"""Checked access to the fields of JSON documents.

Other writers may have made the documents, so nothing is assumed about their values. An
error names the field, its value and what it has to be.
"""

import json
from math import isfinite

from heathercleat.platform.units import parse_duration

#: Upper limit of counters and times, which are 64-bit signed integers.
MAX_COUNT = 1 << 63
#: Maximum length of a value in error messages.
_MAX_SHOWN_LENGTH = 60
_REQUIRED = object()


def parse_object(value):
    """Return the :class:`Fields` of an encoded JSON object.

    :param value: bytes.
    :raises ValueError: when it is not a JSON object.
    """
    try:
        document = json.loads(value)
    except RecursionError:
        raise ValueError("the value is nested too deeply") from None
    return Fields(document)


class Fields:
    """The fields of one JSON object.

    Each method returns the value of a field and raises ``ValueError`` if it is invalid.
    With a default, the field may be missing or null.

    :param path: the position of the object within its document, empty for the outermost
        one.
    """

    __slots__ = ("_document", "_path")

    def __init__(self, document, path=""):
        if not isinstance(document, dict):
            name = f'the field "{path}"' if path else "the value"
            shown = abbreviate(document)
            raise ValueError(f"{name} is {shown}; it has to be an object")
        self._document = document
        self._path = path

    def __contains__(self, name):
        return name in self._document

    def has_value(self, name):
        """Return whether a field is neither missing nor null."""
        return self._get(name) is not None

    def error(self, name, expected, is_secret=False):
        """Return the error for an invalid field.

        :param expected: what it has to be.
        :param is_secret: whether its value must not be shown.
        """
        value = self._document.get(name)
        shown = "invalid" if is_secret else abbreviate(value)
        return ValueError(
            f'the field "{self._path_of(name)}" is {shown}; it has to be {expected}'
        )

    def text(self, name):
        """Return a non-empty string that can be encoded."""
        value = self._get(name)
        if not _is_text(value):
            raise self.error(name, "a non-empty string of Unicode characters")
        return value

    def integer(self, name, minimum=0, maximum=MAX_COUNT, default=_REQUIRED):
        """Return an integer in a range; booleans are rejected."""
        value = self._get(name)
        if value is None and default is not _REQUIRED:
            return default
        if type(value) is not int or not minimum <= value <= maximum:
            raise self.error(name, f"an integer from {minimum} to {maximum}")
        return value

    def quantity(self, name, default=_REQUIRED):
        """Return a finite number of 0 or more."""
        value = self._get(name)
        if value is None and default is not _REQUIRED:
            return default
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not 0 <= value <= MAX_COUNT:
            raise self.error(name, "a number of 0 or more")
        return float(value)

    def duration(self, name, default=_REQUIRED, allows_zero=False):
        """Return a duration such as ``1500ms`` in seconds.

        :param default: the duration, as in the document.
        """
        value = self._get(name)
        if value is None and default is not _REQUIRED:
            value = default
        expected = "0 or more" if allows_zero else "more than 0"
        expected = f"a duration of {expected}, such as 1500ms or 2.5s"
        try:
            seconds = parse_duration(value)
        except ValueError:
            raise self.error(name, expected) from None
        if not isfinite(seconds) or seconds < 0 or not (seconds or allows_zero):
            raise self.error(name, expected)
        return seconds

    def flag(self, name):
        """Return a boolean; ``False`` by default."""
        value = self._get(name)
        if value is None:
            return False
        if not isinstance(value, bool):
            raise self.error(name, "true or false")
        return value

    def texts(self, name, is_secret=False):
        """Return a list of non-empty strings that can be encoded, empty by default."""
        values = self._get(name)
        if values is None:
            return []
        if not isinstance(values, list) or not all(map(_is_text, values)):
            raise self.error(
                name, "a list of non-empty strings of Unicode characters", is_secret
            )
        return values

    def object(self, name):
        """Return the :class:`Fields` of an object."""
        return Fields(self._get(name), self._path_of(name))

    def objects(self, name):
        """Return a list of the :class:`Fields` of objects."""
        values = self._get(name)
        if not isinstance(values, list):
            raise self.error(name, "a list")
        path = self._path_of(name)
        return [Fields(each, f"{path}[{i}]") for i, each in enumerate(values)]

    def _get(self, name):
        return self._document.get(name)

    def _path_of(self, name):
        return f"{self._path}.{name}" if self._path else name


def _is_text(value):
    """Return whether a value is a non-empty string that can be encoded.

    JSON can escape one half of a surrogate pair, which no encoding accepts.
    """
    if not isinstance(value, str) or not value:
        return False
    try:
        value.encode()
    except UnicodeEncodeError:
        return False
    return True


def abbreviate(value):
    """Return a value for an error message."""
    return "missing or null" if value is None else repr(value)[:_MAX_SHOWN_LENGTH]
