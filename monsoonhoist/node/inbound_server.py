"""Server that accepts streams from other instances."""

import asyncio
import logging

from tornado import iostream, tcpserver

from monsoonhoist import errors
from monsoonhoist.core import messages
from monsoonhoist.node import stream_protocol, streams

# Not ``__name__``: operators select log lines of all streams by this name.
_log = logging.getLogger("monsoonhoist.node.peers")


class InboundServer(tcpserver.TCPServer):
    """Accepts streams from other instances and reads their messages.

    Args:
        options: Settings of the streams.
        listener: Receives the messages.
    """

    def __init__(
        self, options: stream_protocol.PeerOptions, listener: stream_protocol.PeerListener
    ):
        super().__init__(max_buffer_size=options.buffer_bytes)
        self._options = options
        self._listener = listener
        self._streams: set[streams.MessageStream] = set()

    async def handle_stream(self, stream: iostream.IOStream, address: tuple) -> None:
        """Reads messages from a stream until it ends."""
        stream.max_write_buffer_size = self._options.buffer_bytes
        message_stream = streams.MessageStream(stream, self._options.frame_bytes)
        self._streams.add(message_stream)
        try:
            await self._serve(message_stream)
        except errors.ProtocolError as error:
            _log.warning("stream refused", extra={"peer": address[0], "error": str(error)})
        except (*stream_protocol.STREAM_ERRORS, TimeoutError):
            _log.debug("inbound stream ended", extra={"peer": address[0]})
        finally:
            self._streams.discard(message_stream)
            message_stream.close()

    def close_streams(self) -> None:
        """Closes all accepted streams."""
        for stream in list(self._streams):
            stream.close()

    async def _serve(self, stream: streams.MessageStream) -> None:
        silence = self._options.silence.total_seconds()
        hello = await asyncio.wait_for(stream.receive(), silence)
        stream_protocol.check_hello(hello, self._options.deployment)
        stream.send(messages.Hello(self._options.deployment, self._listener.local_member()))
        sender = hello.member.instance
        self._listener.handle_message(sender, messages.Members((hello.member,)))
        while True:
            message = await stream.receive()
            if isinstance(message, messages.Heartbeat):
                stream.send(messages.HeartbeatReply(message.sequence))
            self._listener.handle_message(sender, message)
