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
_NON_NEWLINE = re.compile(r"[^\n]")


def loads(source, name, code=ResultCode.TEXT_INVALID):
    """Parse JSON with comments.

    :param name: the file name in error messages.
    :param code: the result code of findings.
    :raises FindingsError: for a syntax error or a repeated name in an object.
    """
    try:
        return json.loads(blank_comments(source), object_pairs_hook=_object_from_pairs)
    except json.JSONDecodeError as error:
        finding = Finding(error.msg, "", error.lineno, error.colno, code)
        raise FindingsError(name, [finding]) from None
    except _RepeatedNameError as error:
        offset = source.rfind(f'"{error.args[0]}"')
        line = source.count("\n", 0, offset) + 1
        column = offset - source.rfind("\n", 0, offset)
        message = f'the name "{error.args[0]}" stands twice; keep one'
        raise FindingsError(name, [Finding(message, "", line, column, code)]) from None


def blank_comments(source):
    """Return ``source`` with comments and trailing commas replaced by spaces."""
    return _TOKEN.sub(_replace_with_spaces, source)


def locate(source, pointers):
    """Return ``{pointer: (line, column)}`` for JSON pointers, counted from 1.

    A pointer that does not exist in ``source`` gets the position of its nearest parent.
    """
    positions = calculate(blank_comments(source))
    return {pointer: _position(positions, pointer) for pointer in pointers}


class _RepeatedNameError(Exception):
    """An object has two members of the same name."""


def _replace_with_spaces(match):
    token = match.group()
    if token.startswith('"'):
        return token
    return _NON_NEWLINE.sub(" ", token)


def _object_from_pairs(pairs):
    result = dict(pairs)
    if len(result) < len(pairs):
        seen = set()
        for name, _ in pairs:
            if name in seen:
                raise _RepeatedNameError(name)
            seen.add(name)
    return result


def _position(positions, pointer):
    while pointer and pointer not in positions:
        pointer = pointer.rpartition("/")[0]
    entry = positions.get(pointer)
    if entry is None:
        return 1, 1
    start = entry.key_start or entry.value_start
    return start.line + 1, start.column + 1
