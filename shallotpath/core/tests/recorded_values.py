"""Recorded data files, and fields of decoded values that hold their defaults."""

import json
from dataclasses import MISSING, fields, is_dataclass
from pathlib import Path

import msgspec


def load_recorded(test_file, name):
    """Return the data file of a test."""
    path = Path(test_file).parent / "recorded" / name
    return json.loads(path.read_text(encoding="utf-8"))


def fields_at_default(value, path="value"):
    """Return the paths of all fields, also nested ones, that hold their default."""
    if isinstance(value, (list, tuple)):
        items = [(f"{path}[{index}]", item) for index, item in enumerate(value)]
    elif isinstance(value, dict):
        items = [(f"{path}[{key!r}]", item) for key, item in value.items()]
    else:
        items = [(f"{path}.{name}", getattr(value, name)) for name in _defaults(value)]
    found = [where for where, item in items for where in fields_at_default(item, where)]
    return found + [
        f"{path}.{name}"
        for name, default in _defaults(value).items()
        if default is not MISSING and getattr(value, name) == default
    ]


def _defaults(value):
    if isinstance(value, msgspec.Struct):
        return {each.name: _default(each) for each in msgspec.structs.fields(value)}
    if is_dataclass(value):
        return {each.name: _default(each) for each in fields(value)}
    return {}


def _default(field):
    for default in (field.default, field.default_factory):
        if default is not MISSING and default is not msgspec.NODEFAULT:
            return default() if default is field.default_factory else default
    return MISSING
