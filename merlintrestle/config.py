"""Command-line settings, which are derived from the protobuf schema."""

from __future__ import annotations

import ipaddress
import re
from typing import Any, NamedTuple, TYPE_CHECKING, TypeVar

from google.protobuf import descriptor as descriptors

from merlintrestle import decoding
from merlintrestle import errors
from merlintrestle.schema import settings_pb2

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from google.protobuf import message

VARIABLE_PREFIX = "MERLINTRESTLE_"
# "/" occurs in key prefixes of the store.
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._/-]{0,62}$")
_MAX_PORT = 65535
_IP_VERSION = 4
_INTEGER_TYPES = (
    descriptors.FieldDescriptor.TYPE_UINT32,
    descriptors.FieldDescriptor.TYPE_UINT64,
)

M = TypeVar("M", bound="message.Message")
F = TypeVar("F", bound="Callable[..., Any]")


class Setting(NamedTuple):
    """One setting, as a command-line flag and an environment variable.

    Attributes:
        name: Field of the settings message.
        flag: Command-line flag.
        variable: Environment variable.
        repeated: Whether it has several values, separated by commas.
        field_type: Protobuf type of the field.
        rule: Options of the field in the schema: help text, default, unit,
            bounds, choices and `kind`, the format of its text.
    """

    name: str
    flag: str
    variable: str
    repeated: bool
    field_type: int
    rule: settings_pb2.Setting

    @property
    def place(self) -> str:
        """Flag and variable, as the `place` of a finding."""
        return f"{self.flag} ({self.variable})"


def list_settings(message_class: type[message.Message]) -> list[Setting]:
    """Returns the settings of a message class, in the order of the schema."""
    return [_build_setting(field) for field in message_class.DESCRIPTOR.fields]


def add_options(message_class: type[message.Message]) -> Callable[[F], F]:
    """Returns a decorator that adds the settings to a click command."""
    # Imported here, as daemons on the platform only use the checks of values.
    import click

    def decorate(command: F) -> F:
        for setting in reversed(list_settings(message_class)):
            command = click.option(
                setting.flag,
                setting.name,
                envvar=setting.variable,
                metavar=_build_metavar(setting),
                help=describe_setting(setting),
            )(command)
        return command

    return decorate


def describe_setting(setting: Setting) -> str:
    """Returns the help text, with default, unit, bounds and variable."""
    rule = setting.rule
    details = []
    if rule.required:
        details.append("required")
    elif rule.default:
        details.append(f"default: {rule.default}")
    if rule.unit:
        details.append(f"unit: {rule.unit}")
    if rule.choices:
        details.append(f"one of: {', '.join(rule.choices)}")
    if rule.max:
        details.append(f"{rule.min:g} to {rule.max:g}")
    details.append(f"variable: {setting.variable}")
    return f"{rule.help} [{'; '.join(details)}]"


def read_settings(
    message_class: type[M], values: Mapping[str, str | None]
) -> M:
    """Parses and validates the settings.

    Args:
        message_class: Class of the settings message.
        values: Unparsed value of each setting by field name; a setting that is
            None, empty or absent has its default.

    Raises:
        errors.InvalidInputError: With all findings, in the order of the schema.
    """
    settings = message_class()
    findings: list[errors.Finding] = []
    for setting in list_settings(message_class):
        text = values.get(setting.name)
        if text is None or text == "":
            text = setting.rule.default
        if not text:
            if setting.rule.required:
                findings.append(errors.Finding(setting.place, "is required."))
            continue
        findings += _set_value(settings, setting, text)
    if findings:
        raise errors.InvalidInputError(findings)
    return settings


def _build_setting(field: Any) -> Setting:
    return Setting(
        name=field.name,
        flag="--" + field.name.replace("_", "-"),
        variable=VARIABLE_PREFIX + field.name.upper(),
        repeated=field.is_repeated,
        field_type=field.type,
        rule=field.GetOptions().Extensions[settings_pb2.setting],
    )


def _build_metavar(setting: Setting) -> str:
    name = setting.rule.kind or ("NUMBER" if _is_number(setting) else "TEXT")
    return name.upper() + (",..." if setting.repeated else "")


def _is_number(setting: Setting) -> bool:
    return setting.field_type != descriptors.FieldDescriptor.TYPE_STRING


def _set_value(
    settings: message.Message, setting: Setting, text: str
) -> list[errors.Finding]:
    texts = text.split(",") if setting.repeated else [text]
    findings = []
    values: list[Any] = []
    for value_text in texts:
        value, problem = _parse(setting, value_text.strip())
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
    is_integer = setting.field_type in _INTEGER_TYPES
    try:
        number = int(text) if is_integer else float(text)
    except ValueError:
        expected = "a whole number" if is_integer else "a number"
        return 0, f"{text!r} is not {expected}."
    rule = setting.rule
    # NaN is rejected as well, as every comparison with it is false.
    if not rule.min <= number <= (rule.max or float("inf")):
        return 0, f"{text} is not within {rule.min:g} to {rule.max:g}."
    return number, ""


def _accept_any(text: str) -> str:
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


def _check_host_ip(text: str) -> str:
    """Returns an error message for an IP address of this host; empty if valid.

    The IP address identifies the daemon in the fleet, so it must belong to a
    single host.
    """
    if problem := _check_ip(text):
        return problem
    address = ipaddress.ip_address(text)
    if address.is_unspecified or address.is_multicast:
        return f"{text!r} is not the number of one host."
    if address.version != _IP_VERSION:
        return f"{text!r} is not an IPv4 number."
    return ""


def check_address(text: str) -> str:
    """Returns an error message for an "ip:port"; empty if valid."""
    host, _, port = text.rpartition(":")
    is_decimal = port.isascii() and port.isdecimal()
    shown = decoding.show_value(text)
    if _check_ip(host.strip("[]")) or not is_decimal:
        return f"{shown} is not an address (IP number:port)."
    if not decoding.parse_whole_number(port, _MAX_PORT):
        return f"{shown} has no port from 1 to {_MAX_PORT}."
    return ""


# Checks of the text formats that the schema names in `kind`.
_CHECKS: dict[str, Callable[[str], str]] = {
    "": _accept_any,
    "name": _check_name,
    "ip": _check_host_ip,
    "address": check_address,
}
