"""What both ends of a stream between instances share: settings, listener and greeting."""

import datetime
import logging

import msgspec

from monsoonhoist import errors
from monsoonhoist.core import data
from monsoonhoist.protocol import messages

# Not ``__name__``: operators select log lines of all streams by this name.
_log = logging.getLogger("monsoonhoist.node.peers")


class PeerOptions(msgspec.Struct, frozen=True):
    """Settings of the streams.

    Attributes:
        deployment: Name of the deployment, which must be the same on both sides.
        frame_bytes: Maximum length of an accepted frame.
        buffer_bytes: Most bytes that may wait to be sent on a stream.
        heartbeat: Interval between heartbeats.
        silence: Timeout for connecting, for the greeting and for acknowledgements of heartbeats.
    """

    deployment: str
    frame_bytes: int
    buffer_bytes: int
    heartbeat: datetime.timedelta
    silence: datetime.timedelta


class PeerListener:
    """Receives messages and events of the streams; implemented by the node."""

    def handle_message(self, sender: data.InstanceId, message: messages.Message) -> None:
        """Handles a message from an instance."""

    def handle_stream_change(self, member: data.Member, is_up: bool) -> None:
        """Handles that the stream to an instance was established or failed."""

    def handle_unsent(self, instance: data.InstanceId, message: messages.Message) -> None:
        """Handles that no byte of a message was sent."""

    def handle_idle_close(self, instance: data.InstanceId) -> None:
        """Handles that an unused stream was closed."""

    def find_member(self, instance: data.InstanceId) -> data.Member | None:
        """Returns an instance's membership record, or None if it is not known."""

    def local_member(self) -> data.Member:
        """Returns this instance's own membership record."""

    def tables_digest(self) -> bytes:
        """Returns the digest of the current tables' revisions."""

    def latest_read_report(self) -> messages.ConfigReadReport | None:
        """Returns the latest known reply of the configuration service, or None."""


def check_hello(message: messages.Message, deployment: str) -> None:
    """Raises ``ProtocolError`` unless the message is a greeting of the same deployment."""
    if not isinstance(message, messages.Hello):
        raise errors.ProtocolError("the first message is not a greeting")
    if message.deployment != deployment:
        raise errors.ProtocolError(f"greeting from another deployment: {message.deployment!r}")


def log_unsent(
    receiver: data.InstanceId, message: messages.Message, error: errors.FrameTooLargeError
) -> None:
    """Logs that a message is too long to be sent."""
    extra = {"peer": receiver, "kind": type(message).__name__, "error": str(error)}
    _log.error("message not sent", extra=extra)
