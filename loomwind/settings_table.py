"""Lists every setting with its value, source, unit and range, for ``check-config --explain``."""

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
    """A setting as it is listed.

    :ivar path: its dotted path, such as ``bounds.lease_ms``.
    :ivar value: the active value as text; secrets are masked.
    :ivar source: whether the value is from the file or the default.
    :ivar allowed: unit and range; empty when there are none.
    """

    path: str
    value: str
    source: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.path:42} {self.value:28} {self.source:8} {self.allowed}".rstrip()


def setting_rows(settings: Settings, path: Path) -> list[SettingRow]:
    """Return a row for each setting; arrays of tables are one row with their length.

    :param path: the file that the settings were read from.
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
            text = "(secret)" if value and name in SECRET_SETTINGS else _format_value(value)
            yield SettingRow(name, text, source, allowed_values(hints[field.name]))


def _format_value(value: object) -> str:
    """Return a value as text; of arrays and tables, only the length."""
    if isinstance(value, tuple | dict):
        return f"{len(value)} given"
    return "none" if value is None else str(value)
