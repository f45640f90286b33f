"""Parser for JSON with comments and trailing commas.

Comments and trailing commas are replaced by spaces, so that line and column numbers
stay valid, and the result is parsed with the standard library.
"""

import json
import re

from json_source_map import calculate

from heathercleat.codes import ResultCode
from heathercleat.errors import Finding, FindingsError

_TOKEN = re.compile(
    r'"(?:\\.|[^"\\\n])*"|//[^\n]*|/\*.*?\*/|,(?=(?:\s|//[^\n]*|/\*.*?\*/)*[}\]])',
    re.DOTALL,
)
_VISIBLE = re.compile(r"[^\n]")


def loads(source, name, code=ResultCode.TEXT_INVALID):
    """Parse JSON with comments.

    :param name: the file name in error messages.
    :param code: the result code of findings.
    :raises FindingsError: for a syntax error or a repeated name in an object.
    """
    try:
        return json.loads(blank(source), object_pairs_hook=_unique)
    except json.JSONDecodeError as error:
        finding = Finding(error.msg, "", error.lineno, error.colno, code)
        raise FindingsError(name, [finding]) from None
    except _RepeatedNameError as error:
        offset = source.rfind(f'"{error.args[0]}"')
        line = source.count("\n", 0, offset) + 1
        column = offset - source.rfind("\n", 0, offset)
        message = f'the name "{error.args[0]}" stands twice; keep one'
        raise FindingsError(name, [Finding(message, "", line, column, code)]) from None


def blank(source):
    """Return ``source`` with comments and trailing commas replaced by spaces."""
    return _TOKEN.sub(_blank_token, source)


def locate(source, pointers):
    """Return ``{pointer: (line, column)}`` for JSON pointers, counted from 1.

    A pointer that does not exist in ``source`` gets the position of its nearest parent.
    """
    places = calculate(blank(source))
    return {pointer: _place(places, pointer) for pointer in pointers}


class _RepeatedNameError(Exception):
    """An object has two members of the same name."""


def _blank_token(match):
    token = match.group()
    if token.startswith('"'):
        return token
    return _VISIBLE.sub(" ", token)


def _unique(pairs):
    result = dict(pairs)
    if len(result) < len(pairs):
        seen = set()
        for name, _ in pairs:
            if name in seen:
                raise _RepeatedNameError(name)
            seen.add(name)
    return result


def _place(places, pointer):
    while pointer and pointer not in places:
        pointer = pointer.rpartition("/")[0]
    entry = places.get(pointer)
    if entry is None:
        return 1, 1
    start = entry.key_start or entry.value_start
    return start.line + 1, start.column + 1
