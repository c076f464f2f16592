"""Names on the platform's wire, towards callers, backend servers and the store."""

REQUEST_ID = "X-Request-Id"
TIME_LEFT = "X-Deadline-Ms"
SERVER_NAME = "X-Target-Instance"
PROOF = "X-Server-Stamp"
PROOFS = "X-Part-Stamps"
MISSING = "X-Missing-Parts"
NOT_RUN = "X-Not-Run"
LOAD = "X-Backend-Load"

READY_PATH = "/api/ready"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"

CONFIG_KEY = "op/config"
SERVER_PREFIX = "servers/"
# Beginnings of all keys that an instance reads.
KEY_PREFIXES = ("",)

RECORD_BYTES = 16

# Header fields that concern one connection only (RFC 9110, 7.6.1), in lower case.
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
