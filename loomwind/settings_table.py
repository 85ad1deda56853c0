"""Lists every setting with its value, where that comes from, its unit and range: for operators."""

import tomllib
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import attrs
from msgspec import Struct, structs

from loomwind.settings import Settings, allowed_values

SOURCE_FILE = "file"
SOURCE_DEFAULT = "default"
SECRET_SETTINGS = frozenset({"operator_token"})


@attrs.frozen
class SettingRow:
    """One setting.

    :ivar path: such as ``bounds.lease_ms``.
    :ivar value: the value in force, as TOML would show it.
    :ivar source: whether the file gives it.
    :ivar allowed: unit and range; empty when there are none.
    """

    path: str
    value: str
    source: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path:42} {self.value:28} {self.source:8} {self.allowed}".rstrip()


def setting_rows(settings: Settings, path: Path) -> list[SettingRow]:
    """Return all settings in force, tables of one kind only where they are given.

    :param path: the file that they were read from.
    """
    file_values = tomllib.loads(path.read_text(encoding="utf-8"))
    return list(_rows(settings, file_values, ""))


def _rows(section: Struct, file_values: Any, prefix: str) -> Iterator[SettingRow]:
    hints = typing.get_type_hints(type(section), include_extras=True)
    table = file_values if isinstance(file_values, dict) else {}
    for field in structs.fields(type(section)):
        value = getattr(section, field.name)
        name = prefix + field.name
        if isinstance(value, Struct):
            yield from _rows(value, table.get(field.name), f"{name}.")
        else:
            source = SOURCE_FILE if field.name in table else SOURCE_DEFAULT
            shown = "(secret)" if value and name in SECRET_SETTINGS else _format_value(value)
            yield SettingRow(name, shown, source, allowed_values(hints[field.name]))


def _format_value(value: object) -> str:
    """Return a value in short; lists by their length."""
    if isinstance(value, tuple | dict):
        return f"{len(value)} given"
    return "none" if value is None else str(value)
