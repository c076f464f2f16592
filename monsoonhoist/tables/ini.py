"""Parser of INI text that keeps line numbers, and validation of sections against models.

The values come from ``configparser`` of the standard library. It does not keep line numbers, so a
second pass over the text finds the line of each section and option.
"""

import configparser
import datetime
import re
from collections.abc import Iterator
from typing import Annotated, TypeVar, get_args, get_origin, get_type_hints

import msgspec

from monsoonhoist.core import diagnostics

# The same pattern as that of ``configparser``.
_SECTION_PATTERN = re.compile(r"^\[(?P<name>.+)\]")
_OPTION_PATTERN = re.compile(r"^(?P<name>[^\s:=#;][^:=]*?)\s*[:=]")

ModelT = TypeVar("ModelT", bound="Model")


class Bounds(msgspec.Struct, frozen=True):
    """Smallest and largest permitted duration, in milliseconds."""

    low_ms: int
    high_ms: int


# Bounds of each duration, unless its annotation has narrower ones. The upper bound is one day.
ANY_DURATION = Bounds(0, 86_400_000)


def bounded_milliseconds(low_ms: int, high_ms: int) -> object:
    """Returns the annotation of a duration from ``low_ms`` to ``high_ms``, both included."""
    return Annotated[datetime.timedelta, Bounds(low_ms, high_ms)]


class Problem(msgspec.Struct, frozen=True):
    """An error in a section.

    Attributes:
        option: The wrong option; empty if several options contradict each other.
        message: Description of the error.
    """

    option: str
    message: str


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """Base class of the models of sections, which have one field for each option.

    Durations are written as whole milliseconds.
    """

    def problems(self) -> tuple[Problem, ...]:
        """Returns contradictions between options that are each valid on their own."""
        return ()


class Section(msgspec.Struct, frozen=True):
    """One INI section.

    Attributes:
        name: Text between the brackets.
        line: Line number of the section header, from 1.
        value_by_option: Values as written.
        line_by_option: Line number of each option, from 1.
    """

    name: str
    line: int
    value_by_option: dict[str, str]
    line_by_option: dict[str, int]


class Source(msgspec.Struct, frozen=True):
    """A parsed INI source.

    Attributes:
        file: Source name used in findings.
        section_by_name: The sections; empty after a syntax error.
        findings: Syntax errors.
    """

    file: str
    section_by_name: dict[str, Section]
    findings: tuple[diagnostics.Finding, ...]


def read(file: str, text: str) -> Source:
    """Parses INI text.

    Args:
        file: Source name used in findings.
        text: The INI text.

    Returns:
        The sections, or the syntax error that the parser reported.
    """
    parser = configparser.ConfigParser(
        interpolation=None, strict=True, inline_comment_prefixes=(";",), default_section=""
    )
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        place = diagnostics.Place(file, getattr(error, "section", ""), _error_line(error))
        message = error.message.replace("\n", " ")
        return Source(file, {}, (diagnostics.Finding(place, message),))
    found_by_name = _find_sections(text)
    section_by_name: dict[str, Section] = {}
    for name in parser.sections():
        section = found_by_name.get(name, Section(name, 0, {}, {}))
        section.value_by_option.update(parser.items(name))
        section_by_name[name] = section
    return Source(file, section_by_name, ())


def check(
    source: Source, section: Section, model_class: type[ModelT]
) -> tuple[ModelT | None, list[diagnostics.Finding]]:
    """Validates a section against a model.

    Args:
        source: The source that contains the section.
        section: The section to validate.
        model_class: Class of the section's model.

    Returns:
        The model and no findings if the section is valid, else None and its errors.
        Contradictions between options are reported only if each option is valid.
    """
    types = get_type_hints(model_class, include_extras=True)
    problems: list[Problem] = []
    value_by_option: dict[str, object] = {}
    for field in msgspec.structs.fields(model_class):
        text = section.value_by_option.get(field.name)
        if text is None:
            if field.required:
                problems.append(Problem(field.name, "Field required"))
            continue
        try:
            value_by_option[field.name] = _convert(text, types[field.name])
        except (ValueError, OverflowError, msgspec.ValidationError) as error:
            problems.append(Problem(field.name, str(error)))
    unknown = [option for option in section.value_by_option if option not in types]
    problems += [Problem(option, "no such option") for option in unknown]
    model = None
    if not problems:
        model = model_class(**value_by_option)
        problems += model.problems()
    findings = [_make_finding(source, section, problem) for problem in problems]
    return (None if findings else model), findings


def _convert(text: str, annotation: object) -> object:
    """Converts the text of an option to the type of its field.

    Raises:
        ValueError: If the text is not the required boolean or duration, or the duration is out of
            bounds.
        ValidationError: If the text cannot be converted to another required type.
    """
    base_type = get_args(annotation)[0] if get_origin(annotation) is Annotated else annotation
    if base_type is bool:
        return _parse_boolean(text)
    if not _is_duration(annotation):
        return msgspec.convert(text, annotation, strict=False, dec_hook=_construct)
    milliseconds = int(text)
    for bounds in (*_find_bounds(annotation), ANY_DURATION):
        if not bounds.low_ms <= milliseconds <= bounds.high_ms:
            raise ValueError(f"must be from {bounds.low_ms} to {bounds.high_ms}")
    return datetime.timedelta(milliseconds=milliseconds)


def _construct(target_type: type, text: str) -> object:
    """Returns an object of a type that is constructed from text, such as an IP address."""
    return target_type(text)


def _parse_boolean(text: str) -> bool:
    """Returns the truth value of a boolean keyword of INI, such as ``yes`` or ``off``.

    Raises:
        ValueError: If the text is no such keyword.
    """
    value = configparser.ConfigParser.BOOLEAN_STATES.get(text.lower())
    if value is None:
        raise ValueError("must be yes or no")
    return value


def _is_duration(annotation: object) -> bool:
    """Returns whether an annotation is a duration or contains one, as an optional duration does."""
    return annotation is datetime.timedelta or any(
        _is_duration(part) for part in get_args(annotation)
    )


def _find_bounds(annotation: object) -> Iterator[Bounds]:
    """Yields the bounds that an annotation contains, at any depth."""
    if isinstance(annotation, Bounds):
        yield annotation
    for part in get_args(annotation):
        yield from _find_bounds(part)


def _make_finding(source: Source, section: Section, problem: Problem) -> diagnostics.Finding:
    """Converts a problem to a finding with its place in the source."""
    line = section.line_by_option.get(problem.option, section.line)
    prefix = f"{problem.option}: " if problem.option else ""
    return diagnostics.Finding(
        diagnostics.Place(source.file, section.name, line), f"{prefix}{problem.message}"
    )


def _find_sections(text: str) -> dict[str, Section]:
    """Returns the sections with the line numbers of their options, but without values."""
    section_by_name: dict[str, Section] = {}
    section: Section | None = None
    for number, line in enumerate(text.splitlines(), start=1):
        if match := _SECTION_PATTERN.match(line):
            section = Section(match["name"], number, {}, {})
            section_by_name[section.name] = section
        elif section is not None and (match := _OPTION_PATTERN.match(line)):
            section.line_by_option.setdefault(match["name"].lower(), number)
    return section_by_name


def _error_line(error: configparser.Error) -> int:
    """Returns the first line number in an error of the parser, or 0 if it has none."""
    # Only some of the parser's errors list several lines, and only some of the others have a line.
    line_errors = getattr(error, "errors", None)
    if line_errors:
        return line_errors[0][0]
    return getattr(error, "lineno", None) or 0
