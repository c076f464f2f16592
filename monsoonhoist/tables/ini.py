"""INI sources with the line of each section and option.

The standard library's parser reads the values; a second, small pass over the text
finds the lines, which that parser does not keep.
"""

import configparser
import datetime
import re
from typing import Annotated, TypeVar

import msgspec
import pydantic

from monsoonhoist.core import data

_SECTION = re.compile(r"^\[(?P<name>[^\]]+)\]")
_OPTION = re.compile(r"^(?P<name>[^\s:=#;][^:=]*?)\s*[:=]")

ModelT = TypeVar("ModelT", bound=pydantic.BaseModel)


def _milliseconds(value: object) -> datetime.timedelta:
    """Returns the duration that a whole number of milliseconds stands for."""
    return datetime.timedelta(milliseconds=int(str(value)))


Milliseconds = Annotated[datetime.timedelta, pydantic.BeforeValidator(_milliseconds)]


def bounded_milliseconds(low_ms: int, high_ms: int) -> object:
    """Returns the type of a duration from ``low_ms`` to ``high_ms``."""

    def check_bounds(value: datetime.timedelta) -> datetime.timedelta:
        if not low_ms <= value / datetime.timedelta(milliseconds=1) <= high_ms:
            raise ValueError(f"must be from {low_ms} to {high_ms}")
        return value

    return Annotated[Milliseconds, pydantic.AfterValidator(check_bounds)]


class Section(msgspec.Struct, frozen=True):
    """One INI section.

    Attributes:
        name: Text between the brackets.
        line: Line of the header, from 1.
        value_by_option: Values as written.
        line_by_option: Line of each option.
    """

    name: str
    line: int
    value_by_option: dict[str, str]
    line_by_option: dict[str, int]


class Source(msgspec.Struct, frozen=True):
    """An INI source as read.

    Attributes:
        file: Name used in findings.
        section_by_name: The sections.
        findings: Errors of syntax.
    """

    file: str
    section_by_name: dict[str, Section]
    findings: tuple[data.Finding, ...]


def read(file: str, text: str) -> Source:
    """Reads INI text.

    Args:
        file: Name used in findings.
        text: The source.

    Returns:
        The sections, empty where the syntax is wrong, and the errors of syntax.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, inline_comment_prefixes=(";",), default_section=""
    )
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        place = data.Place(file, getattr(error, "section", ""), _error_line(error))
        message = error.message.replace("\n", " ")
        return Source(file, {}, (data.Finding(place, message),))
    section_by_name = _locate(text)
    for name in section_by_name:
        section_by_name[name].value_by_option.update(parser.items(name))
    return Source(file, section_by_name, ())


def check(
    source: Source, section: Section, model: type[ModelT]
) -> tuple[ModelT | None, list[data.Finding]]:
    """Checks a section against a model.

    Returns:
        The checked values, or None and everything that is wrong with them.
    """
    try:
        return model.model_validate(section.value_by_option), []
    except pydantic.ValidationError as error:
        return None, [_finding(source, section, detail) for detail in error.errors()]


def _finding(source: Source, section: Section, detail: dict) -> data.Finding:
    """Returns one of the model's errors with its place."""
    option = str(detail["loc"][0]) if detail["loc"] else ""
    line = section.line_by_option.get(option, section.line)
    text = detail["msg"].removeprefix("Value error, ")
    message = f"{option}: {text}" if option else text
    return data.Finding(data.Place(source.file, section.name, line), message)


def _locate(text: str) -> dict[str, Section]:
    """Returns the sections with their lines and without values."""
    section_by_name: dict[str, Section] = {}
    section: Section | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _SECTION.match(line):
            section = Section(match["name"], number, {}, {})
            section_by_name[section.name] = section
        elif section is not None and (match := _OPTION.match(line)):
            section.line_by_option.setdefault(match["name"].lower(), number)
    return section_by_name


def _error_line(error: configparser.Error) -> int:
    """Returns the first line that a parser's error names, or 0."""
    if isinstance(error, configparser.ParsingError) and error.errors:
        return error.errors[0][0]
    return getattr(error, "lineno", None) or 0
