"""Reads the settings of an instance from an INI file and checks them."""

import pathlib

import msgspec

from monsoonhoist import errors, settings
from monsoonhoist.core import diagnostics
from monsoonhoist.tables import ini


def parse(file: str, text: str) -> tuple[settings.Settings | None, tuple[diagnostics.Finding, ...]]:
    """Parses and validates settings.

    Args:
        file: Name used in findings.
        text: INI text.

    Returns:
        The settings, or None if there are errors, and the errors.
    """
    source = ini.read(file, text)
    findings = list(source.findings)
    model_by_name: dict[str, ini.Model] = {}
    field_by_name = {field.name: field for field in msgspec.structs.fields(settings.Settings)}
    for name, field in field_by_name.items():
        section = source.section_by_name.get(name)
        if section is not None:
            model, section_findings = ini.check(source, section, field.type)
            findings.extend(section_findings)
            if model is not None:
                model_by_name[name] = model
        elif field.required and not source.findings:
            place = diagnostics.Place(file, name)
            findings.append(diagnostics.Finding(place, f"the section [{name}] is missing"))
    for name, section in source.section_by_name.items():
        if name not in field_by_name:
            place = diagnostics.Place(file, name, section.line)
            findings.append(diagnostics.Finding(place, "no such section"))
    if not findings and model_by_name["platform"].dialect == "platform":
        findings.extend(
            _find_missing_addresses(file, model_by_name.get("listen", settings.ListenSection()))
        )
    if findings:
        return None, tuple(findings)
    return settings.Settings(**model_by_name), ()


def _find_missing_addresses(file: str, listen: settings.ListenSection) -> list[diagnostics.Finding]:
    """Returns a finding for each address that the dialect ``platform`` requires."""
    place = diagnostics.Place(file, "listen")
    return [
        diagnostics.Finding(place, f"{name}: required with dialect = platform")
        for name in listen.missing()
    ]


def load(path: pathlib.Path) -> settings.Settings:
    """Reads settings from a file.

    Raises:
        SettingsError: If the file cannot be read or contains errors.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        finding = diagnostics.Finding(diagnostics.Place(str(path)), f"cannot be read: {error}")
        raise errors.SettingsError((finding,)) from error
    config, findings = parse(str(path), text)
    if config is None:
        raise errors.SettingsError(findings)
    return config
