"""Settings of the programs, derived from the schema and checked together."""

from __future__ import annotations

import ipaddress
import re
from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

import click
from google.protobuf import descriptor as descriptors

from merlintrestle import errors
from merlintrestle.schema import settings_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from google.protobuf import message

VARIABLE_PREFIX = "MERLINTRESTLE_"
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,62}$")
_MAX_PORT = 65535
_IP_VERSION = 4
_INTEGERS = (
    descriptors.FieldDescriptor.TYPE_UINT32,
    descriptors.FieldDescriptor.TYPE_UINT64,
)

M = TypeVar("M", bound="message.Message")
F = TypeVar("F", bound="Callable[..., Any]")


class Setting(NamedTuple):
    """One setting as people give it.

    Attributes:
        name: Field of the settings message.
        flag: Command-line flag.
        variable: Environment variable.
        repeated: Several values, separated by commas.
        kind: Protobuf type of the field.
        rule: Help, default, unit and bounds from the schema.
    """

    name: str
    flag: str
    variable: str
    repeated: bool
    kind: int
    rule: settings_pb2.Setting

    @property
    def place(self) -> str:
        """Where a finding about this setting points to."""
        return f"{self.flag} ({self.variable})"


def list_settings(kind: type[message.Message]) -> list[Setting]:
    """Returns the settings of a settings message, in the schema's order."""
    return [_describe(field) for field in kind.DESCRIPTOR.fields]


def add_options(kind: type[message.Message]) -> Callable[[F], F]:
    """Returns a decorator that gives a click command the settings' options."""

    def decorate(command: F) -> F:
        for setting in reversed(list_settings(kind)):
            command = click.option(
                setting.flag,
                setting.name,
                envvar=setting.variable,
                metavar=_metavar(setting),
                help=describe_setting(setting),
            )(command)
        return command

    return decorate


def describe_setting(setting: Setting) -> str:
    """Returns the help text: meaning, default, unit, bounds, variable."""
    rule = setting.rule
    facts = []
    if rule.required:
        facts.append("required")
    elif rule.default:
        facts.append(f"default: {rule.default}")
    if rule.unit:
        facts.append(f"unit: {rule.unit}")
    if rule.choices:
        facts.append(f"one of: {', '.join(rule.choices)}")
    if rule.max:
        facts.append(f"{rule.min:g} to {rule.max:g}")
    facts.append(f"variable: {setting.variable}")
    return f"{rule.help} [{'; '.join(facts)}]"


def read_settings(kind: type[M], values: Mapping[str, str | None]) -> M:
    """Checks the given texts and returns the settings message.

    Args:
        kind: Class of the settings message.
        values: Text of each setting by field name; None or absent: not given.

    Raises:
        errors.InvalidInputError: With every finding, in the schema's order.
    """
    settings = kind()
    findings: list[errors.Finding] = []
    for setting in list_settings(kind):
        text = values.get(setting.name)
        if text is None or text == "":
            text = setting.rule.default
        if not text:
            if setting.rule.required:
                findings.append(errors.Finding(setting.place, "is required."))
            continue
        findings += _fill(settings, setting, text)
    if findings:
        raise errors.InvalidInputError(findings)
    return settings


def _describe(field: Any) -> Setting:
    return Setting(
        name=field.name,
        flag="--" + field.name.replace("_", "-"),
        variable=VARIABLE_PREFIX + field.name.upper(),
        repeated=field.is_repeated,
        kind=field.type,
        rule=field.GetOptions().Extensions[settings_pb2.setting],
    )


def _metavar(setting: Setting) -> str:
    word = setting.rule.kind or ("NUMBER" if _is_number(setting) else "TEXT")
    return word.upper() + (",..." if setting.repeated else "")


def _is_number(setting: Setting) -> bool:
    return setting.kind != descriptors.FieldDescriptor.TYPE_STRING


def _fill(
    settings: message.Message, setting: Setting, text: str
) -> list[errors.Finding]:
    parts = text.split(",") if setting.repeated else [text]
    findings = []
    values: list[Any] = []
    for part in parts:
        value, problem = _parse(setting, part.strip())
        if problem:
            findings.append(errors.Finding(setting.place, problem))
        values.append(value)
    if findings:
        return findings
    if setting.repeated:
        getattr(settings, setting.name).extend(values)
    else:
        setattr(settings, setting.name, values[0])
    return []


def _parse(setting: Setting, text: str) -> tuple[Any, str]:
    if _is_number(setting):
        return _parse_number(setting, text)
    rule = setting.rule
    if rule.choices and text not in rule.choices:
        return text, f"{text!r} is not one of {', '.join(rule.choices)}."
    return text, _CHECKS[rule.kind](text)


def _parse_number(setting: Setting, text: str) -> tuple[float, str]:
    whole = setting.kind in _INTEGERS
    try:
        number = int(text) if whole else float(text)
    except ValueError:
        kind = "a whole number" if whole else "a number"
        return 0, f"{text!r} is not {kind}."
    rule = setting.rule
    # A comparison with nan is false, so nan is refused here too.
    if not rule.min <= number <= (rule.max or float("inf")):
        return 0, f"{text} is not within {rule.min:g} to {rule.max:g}."
    return number, ""


def _check_any(text: str) -> str:
    del text
    return ""


def _check_name(text: str) -> str:
    if _NAME.match(text):
        return ""
    return f"{text!r} is not a name (letters, digits, '.', '_', '/', '-')."


def _check_ip(text: str) -> str:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return f"{text!r} is not an IP number."
    return ""


def _check_own_ip(text: str) -> str:
    """Returns what is wrong with the number by which others reach this host.

    It names the daemon in the fleet, so it must be its own.
    """
    if problem := _check_ip(text):
        return problem
    number = ipaddress.ip_address(text)
    if number.is_unspecified or number.is_multicast:
        return f"{text!r} is not the number of one host."
    if number.version != _IP_VERSION:
        return f"{text!r} is not an IPv4 number."
    return ""


def check_address(text: str) -> str:
    """Returns what is wrong with an "ip:port"; empty: nothing."""
    host, _, port = text.rpartition(":")
    whole = port.isascii() and port.isdecimal()
    if _check_ip(host.strip("[]")) or not whole:
        return f"{text!r} is not an address (IP number:port)."
    if not 0 < int(port) <= _MAX_PORT:
        return f"{text!r} has no port from 1 to {_MAX_PORT}."
    return ""


_CHECKS: dict[str, Callable[[str], str]] = {
    "": _check_any,
    "name": _check_name,
    "ip": _check_own_ip,
    "address": check_address,
}
