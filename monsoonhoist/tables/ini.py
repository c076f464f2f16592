"""INI sources with the line of each section and option.

The standard library's parser reads the values; a second, small pass over the text
finds the lines, which that parser does not keep.
"""

import configparser
import datetime
import re
from collections.abc import Iterator
from typing import Annotated, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from monsoonhoist.core import data

_SECTION = re.compile(r"^\[(?P<name>[^\]]+)\]")
_OPTION = re.compile(r"^(?P<name>[^\s:=#;][^:=]*?)\s*[:=]")

ModelT = TypeVar("ModelT", bound="Model")


class Bounds(msgspec.Struct, frozen=True):
    """Bounds of a duration, in milliseconds."""

    low_ms: int
    high_ms: int


def bounded_milliseconds(low_ms: int, high_ms: int) -> object:
    """Returns the type of a duration from ``low_ms`` to ``high_ms``."""
    return Annotated[datetime.timedelta, Bounds(low_ms, high_ms)]


class Problem(msgspec.Struct, frozen=True):
    """What is wrong with an option, or with several together, where it is empty."""

    option: str
    message: str


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the sections' models: one field for each option.

    Durations are written as whole milliseconds.
    """

    def problems(self) -> tuple[Problem, ...]:
        """Returns what is wrong with options that are right by themselves."""
        return ()


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
    section_by_name = _find_lines(text)
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
    types = get_type_hints(model, include_extras=True)
    problems: list[Problem] = []
    value_by_option: dict[str, object] = {}
    for field in msgspec.structs.fields(model):
        text = section.value_by_option.get(field.name)
        if text is None:
            if field.required:
                problems.append(Problem(field.name, "Field required"))
            continue
        try:
            value_by_option[field.name] = _convert(text, types[field.name])
        except (ValueError, msgspec.ValidationError) as error:
            problems.append(Problem(field.name, str(error)))
    unknown = [option for option in section.value_by_option if option not in types]
    problems += [Problem(option, "no such option") for option in unknown]
    checked = None
    if not problems:
        checked = model(**value_by_option)
        problems += checked.problems()
    findings = [_make_finding(source, section, problem) for problem in problems]
    return (None if findings else checked), findings


def _convert(text: str, annotation: object) -> object:
    """Returns the value that an option's text stands for.

    Raises:
        ValueError: If the text is no duration within its bounds.
        ValidationError: If the text does not fit another type.
    """
    base = get_args(annotation)[0] if get_origin(annotation) is Annotated else annotation
    if base is bool:
        return _parse_boolean(text)
    if not _is_duration(annotation):
        return msgspec.convert(text, annotation, strict=False, dec_hook=_construct)
    duration = datetime.timedelta(milliseconds=int(text))
    for bounds in _find_bounds(annotation):
        if not bounds.low_ms <= int(text) <= bounds.high_ms:
            raise ValueError(f"must be from {bounds.low_ms} to {bounds.high_ms}")
    return duration


def _construct(target_type: type, text: str) -> object:
    """Returns an object of a type that is made from text, such as an IP number."""
    return target_type(text)


def _parse_boolean(text: str) -> bool:
    """Returns what one of the words that INI has for true and false stands for."""
    state = configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
    if state is None:
        raise ValueError("must be yes or no")
    return state


def _is_duration(annotation: object) -> bool:
    """Returns whether an annotation is a duration, or one that may be left out."""
    return annotation is datetime.timedelta or any(
        _is_duration(part) for part in get_args(annotation)
    )


def _find_bounds(annotation: object) -> Iterator[Bounds]:
    """Yields the bounds within an annotation."""
    if isinstance(annotation, Bounds):
        yield annotation
    for part in get_args(annotation):
        yield from _find_bounds(part)


def _make_finding(source: Source, section: Section, problem: Problem) -> data.Finding:
    """Returns a problem as a finding with its place."""
    line = section.line_by_option.get(problem.option, section.line)
    prefix = f"{problem.option}: " if problem.option else ""
    return data.Finding(data.Place(source.file, section.name, line), f"{prefix}{problem.message}")


def _find_lines(text: str) -> dict[str, Section]:
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
