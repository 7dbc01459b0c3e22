"""Reading of settings files."""

from __future__ import annotations

import configparser
import re
from pathlib import Path

import msgspec

from tansycrank.config.checks import check
from tansycrank.config.errors import ConfigError
from tansycrank.config.model import Config
from tansycrank.config.sections import NAMED_SECTIONS, SINGLE_SECTIONS, Section

NAME = re.compile(r"[a-z_][a-z0-9_-]{0,62}$")
BOOLEANS = {"yes": "true", "on": "true", "no": "false", "off": "false"}


def load(path: str | Path) -> Config:
    """Read and check a settings file. Raises ConfigError with the first fault."""
    path = str(path)
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise ConfigError(path, "-", "file", None, error.strerror or str(error)) from None
    except UnicodeDecodeError:
        raise ConfigError(path, "-", "file", None, "the file must be UTF-8") from None
    return parse(text, path)


def parse(text: str, path: str = "<text>") -> Config:
    """Check the text of a settings file."""
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, delimiters=("=",), comment_prefixes=("#",)
    )
    parser.optionxform = str
    try:
        parser.read_string(text, path)
    except configparser.Error as error:
        raise ConfigError(path, "-", "file", None, str(error).replace("\n", " ")) from None
    single, named = {}, {kind: {} for kind in NAMED_SECTIONS}
    for section in parser.sections():
        kind, _, name = section.partition(" ")
        if section in SINGLE_SECTIONS:
            single[section] = _read_section(
                path, section, SINGLE_SECTIONS[section], dict(parser[section])
            )
        elif kind in NAMED_SECTIONS and NAME.match(name.strip()):
            named[kind][name.strip()] = _read_section(
                path, section, NAMED_SECTIONS[kind], dict(parser[section])
            )
        else:
            allowed = ", ".join([*SINGLE_SECTIONS, *(f"{k} NAME" for k in NAMED_SECTIONS)])
            raise ConfigError(path, section, "section", section, f"allowed sections: {allowed}")
    for section, section_type in SINGLE_SECTIONS.items():
        single.setdefault(section, section_type())
    return check(path, single, named)


def _read_section(
    path: str, section: str, section_type: type[Section], raw: dict[str, str]
) -> Section:
    known = {f.name: f for f in msgspec.structs.fields(section_type)}
    for key, value in raw.items():
        if key not in known:
            raise ConfigError(
                path, section, key, value, f"unknown key; allowed: {', '.join(known)}"
            )
        if section_type.__annotations__.get(key) == "bool":
            raw[key] = BOOLEANS.get(value.lower(), value)
    for key, field in known.items():
        if field.required and key not in raw:
            raise ConfigError(path, section, key, None, "a value is needed")
    try:
        return msgspec.convert(raw, section_type, strict=False)
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at `$.")
        key = where.rstrip("`") or "-"
        raise ConfigError(path, section, key, raw.get(key), what) from None
