"""Exceptions of the program.

Every exception class that the program defines derives from ``MonsoonError``. Findings about
settings and tables are records (``diagnostics.Finding``). Those about settings are raised as a
group, in a ``SettingsError``; those about tables are never raised.
"""

from monsoonhoist.core import data, diagnostics


class MonsoonError(Exception):
    """Base class of the exceptions that the program defines."""


class SettingsError(MonsoonError):
    """Settings cannot be read or contain at least one error.

    Attributes:
        findings: The errors, by section in the order of ``settings.Settings``, then the unknown
            sections.
    """

    def __init__(self, findings: tuple[diagnostics.Finding, ...]):
        self.findings = findings
        super().__init__("; ".join(finding.describe() for finding in findings))


class MalformedInputError(MonsoonError):
    """Text that another program wrote cannot be decoded."""


class ProtocolError(MonsoonError):
    """Data received from another instance violates the protocol."""


class FrameTooLargeError(ProtocolError):
    """A frame exceeds the size limit of the settings."""


class StreamError(MonsoonError):
    """A stream between instances is closed, or too many bytes wait to be sent on it."""


class RequestError(MonsoonError):
    """A caller's request is invalid.

    Attributes:
        refusal: Reason that is returned to the caller and counted.
    """

    def __init__(self, refusal: data.Refusal, detail: str):
        self.refusal = refusal
        super().__init__(detail)


class UnknownPolicyError(MonsoonError):
    """No policy or dialect is registered under the requested name."""
