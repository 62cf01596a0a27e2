"""Declare settings as dataclass fields and read them from INI files."""

from __future__ import annotations

import configparser
from collections.abc import Callable
from dataclasses import MISSING, Field, field, fields
from difflib import get_close_matches
from pathlib import Path
from typing import Any, TypeVar

from ..core import SettingError

T = TypeVar("T")
Parser = Callable[[str], Any]


def setting(section: str, key: str, parse: Parser, default: Any = MISSING) -> Any:
    """Declare one setting; without a default it is required."""
    metadata = {"section": section, "key": key, "parse": parse}
    if default is MISSING:
        return field(metadata=metadata)
    return field(default=default, metadata=metadata)


def load_settings(cls: type[T], path: str | Path) -> T:
    """Read settings from a file or raise one `SettingError` that lists all faults."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        text = Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=str(path))
    except OSError as error:
        raise SettingError(
            f"{path}: {error.strerror}; name a readable file with --config"
        ) from error
    except (configparser.Error, UnicodeDecodeError) as error:
        raise SettingError(f"{path}: {error}; correct the INI syntax") from error
    values, faults = _parse_values(cls, parser)
    faults += _unknown_key_faults(cls, parser)
    if faults:
        raise SettingError("\n".join(f"{path}: {fault}" for fault in faults))
    return cls(**values)


def _parse_values(
    cls: type, parser: configparser.ConfigParser
) -> tuple[dict[str, Any], list[str]]:
    values: dict[str, Any] = {}
    faults: list[str] = []
    for item in fields(cls):
        section, key = item.metadata["section"], item.metadata["key"]
        if not parser.has_option(section, key):
            faults += _missing_faults(item)
            continue
        try:
            values[item.name] = item.metadata["parse"](parser.get(section, key))
        except ValueError as error:
            faults.append(f"[{section}] {key}: {error}")
    return values, faults


def _missing_faults(item: Field) -> list[str]:
    if item.default is not MISSING:
        return []
    section, key = item.metadata["section"], item.metadata["key"]
    return [f"[{section}] {key}: required but not set; add it"]


def _unknown_key_faults(cls: type, parser: configparser.ConfigParser) -> list[str]:
    known = {(item.metadata["section"], item.metadata["key"]) for item in fields(cls)}
    sections = {section for section, _ in known}
    faults: list[str] = []
    for section in parser.sections():
        if section not in sections:
            faults.append(
                f"[{section}]: unknown section{_suggestion(section, sections)}"
            )
            continue
        keys = {key for name, key in known if name == section}
        faults += [
            f"[{section}] {key}: unknown key{_suggestion(key, keys)}"
            for key in parser[section]
            if key not in keys
        ]
    return faults


def _suggestion(name: str, known: set[str]) -> str:
    close = get_close_matches(name, known, n=1)
    if close:
        return f"; did you mean {close[0]!r}?"
    return f"; use one of {', '.join(sorted(known))}"
