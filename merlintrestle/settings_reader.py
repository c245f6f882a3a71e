"""Parsing of the values of a settings file, with all findings collected."""

from __future__ import annotations

from typing import NamedTuple, TYPE_CHECKING, TypeVar

from merlintrestle import config
from merlintrestle import decoding
from merlintrestle import errors

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping
    import pathlib

_T = TypeVar("_T")

_MAX_PORT = 65535
_MAX_FILE_BYTES = 1_000_000
# It fits into all fields that take a setting.
_MAX_NUMBER = 1e9
_MAX_NUMBER_CHARACTERS = 40
_MIN_DURATION = 0.001
_MAX_TEXT_CHARACTERS = 200


class Address(NamedTuple):
    """IP number and port number of a socket."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class SettingsReader:
    """Parses the values of a settings file and collects findings.

    Attributes:
        findings: Problems of the values that were read so far.
    """

    def __init__(self, values: Mapping[str, str]):
        """Initializes the reader with the unparsed values by name."""
        self.findings: list[errors.Finding] = []
        self._values = values

    def get_required(
        self, name: str, parse: Callable[[str], _T], default: _T
    ) -> _T:
        """Returns a value, or `default` if it is missing or malformed."""
        if name not in self._values:
            self.findings.append(errors.Finding(name, "is required."))
        return self.get_optional(name, parse, default)

    def get_optional(
        self, name: str, parse: Callable[[str], _T], default: _T
    ) -> _T:
        """Returns an optional value, or `default`."""
        if name not in self._values:
            return default
        try:
            return parse(self._values[name])
        except ValueError as error:
            self.findings.append(errors.Finding(name, str(error)))
            return default


def parse_ip(text: str) -> str:
    """Returns an IP address.

    Raises:
        ValueError: If the text is not an IP address.
    """
    # `check_address` needs a port. Port 1 is a placeholder, which also appears
    # in the error message.
    if problem := config.check_address(f"{text}:1"):
        raise ValueError(problem)
    return text


def read_file(path: pathlib.Path) -> str:
    """Returns the text of a settings file.

    Raises:
        errors.InvalidInputError: It cannot be read, is no text or too large.
    """
    try:
        with path.open("rb") as file:
            data = file.read(_MAX_FILE_BYTES + 1)
        if len(data) <= _MAX_FILE_BYTES:
            return data.decode()
        problem = f"is larger than {_MAX_FILE_BYTES} bytes."
    except (OSError, UnicodeDecodeError) as error:
        problem = f"cannot be read: {error}."
    raise errors.InvalidInputError([errors.Finding(str(path), problem)])


def split_lines(text: str, group: str) -> dict[str, str]:
    """Returns the values of lines of "name=value", by name.

    Args:
        text: The lines.
        group: Name whose value is a list of "name=value" with commas between
            them. Each is returned under this name, a dot and its own name.
    """
    values: dict[str, str] = {}
    for line in text.splitlines():
        name, _, value = line.partition("=")
        if name.strip() != group:
            values[name.strip()] = value.strip()
            continue
        for part in value.split(","):
            part_name, _, part_value = part.partition("=")
            values[f"{group}.{part_name.strip()}"] = part_value.strip()
    return values


def parse_number(text: str) -> float:
    """Returns a non-negative number up to a billion.

    Raises:
        ValueError: If the text is not such a number.
    """
    shown = decoding.show_value(text)
    if len(text) > _MAX_NUMBER_CHARACTERS:
        raise ValueError(f"{shown} is not a number.")
    try:
        number = float(text)
    except ValueError as error:
        raise ValueError(f"{shown} is not a number.") from error
    if not 0 <= number <= _MAX_NUMBER:
        raise ValueError(f"{shown} is not within 0 to {_MAX_NUMBER:g}.")
    return number


def parse_duration(text: str) -> float:
    """Returns a duration in any unit: 0, or at least a thousandth.

    A shorter one would divide a second into more parts than a number can count.

    Raises:
        ValueError: If the text is not such a number.
    """
    number = parse_number(text)
    if 0 < number < _MIN_DURATION:
        raise ValueError(f"{text!r} is below {_MIN_DURATION:g}.")
    return number


def parse_text(text: str) -> str:
    """Returns a text that fits into messages and log lines.

    Raises:
        ValueError: If it is too long or not printable.
    """
    if len(text) > _MAX_TEXT_CHARACTERS or not text.isprintable():
        raise ValueError(f"{decoding.show_value(text)} is not allowed.")
    return text


def parse_flag(text: str) -> bool:
    """Returns whether a text is "true".

    Raises:
        ValueError: If the text is neither "true" nor "false".
    """
    if text not in ("true", "false"):
        shown = decoding.show_value(text)
        raise ValueError(f"{shown} is neither true nor false.")
    return text == "true"


def parse_address(text: str) -> Address:
    """Returns an address of the form "ip:port".

    Raises:
        ValueError: If the text is not such an address.
    """
    if problem := config.check_address(text):
        raise ValueError(problem)
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def parse_ports(text: str) -> tuple[int, int]:
    """Returns the first and the last port of a range "first,last".

    Raises:
        ValueError: If the text is not a range of ports.
    """
    first_text, _, last_text = text.partition(",")
    first = decoding.parse_whole_number(first_text.strip(), _MAX_PORT)
    last = decoding.parse_whole_number(
        (last_text or first_text).strip(), _MAX_PORT
    )
    if not first or not last or first > last:
        shown = decoding.show_value(text)
        raise ValueError(f"{shown} is not a range of ports.")
    return first, last
