"""Findings: errors in settings, tables and traces, each with its place."""

import msgspec


class Place(msgspec.Struct, frozen=True):
    """Source location of a finding.

    Attributes:
        file: Name of the file or table key.
        section: INI section, or kernel that handled an event of a trace; empty if there is none.
        line: Line number, from 1; 0 if unknown.
    """

    file: str
    section: str = ""
    line: int = 0


class Finding(msgspec.Struct, frozen=True):
    """An error found in settings, a table or a trace, with its location."""

    place: Place
    message: str

    def describe(self) -> str:
        """Returns the finding as ``file:line: [section] message``."""
        section = f" [{self.place.section}]" if self.place.section else ""
        return f"{self.place.file}:{self.place.line}:{section} {self.message}"
