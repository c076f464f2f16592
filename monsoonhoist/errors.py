"""Exception tree of the program.

Every exception that the program raises on purpose derives from ``MonsoonError``.
Findings about settings and tables are records (``data.Finding``); they are raised
only as a group, in ``SettingsError``.
"""

from monsoonhoist.core import data


class MonsoonError(Exception):
    """Base of the exceptions raised on purpose."""


class SettingsError(MonsoonError):
    """Settings or tables that hold at least one finding.

    Attributes:
        findings: Everything found, in the order of the source.
    """

    def __init__(self, findings: tuple[data.Finding, ...]):
        self.findings = findings
        super().__init__("; ".join(finding.describe() for finding in findings))


class ProtocolError(MonsoonError):
    """Bytes on an instance stream that are not the protocol."""


class FrameTooLargeError(ProtocolError):
    """A frame longer than the limit in the settings."""


class RequestError(MonsoonError):
    """A caller's request that cannot be read.

    Attributes:
        refusal: Reason given to the caller and counted.
    """

    def __init__(self, refusal: data.Refusal, detail: str):
        self.refusal = refusal
        super().__init__(detail)


class UnknownPolicyError(MonsoonError):
    """A policy name that no plug-in has registered."""
