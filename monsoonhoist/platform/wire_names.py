"""Names on the platform's wire, towards callers, backend servers and the store."""

REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
SERVER_ID_HEADER = "X-Target-Instance"
PROOF_HEADER = "X-Server-Stamp"
PROOFS_HEADER = "X-Part-Stamps"
MISSING_SHARDS_HEADER = "X-Missing-Parts"
NOT_RUN_HEADER = "X-Not-Run"
LOAD_HEADER = "X-Backend-Load"

READY_PATH = "/api/ready"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"

CONFIG_KEY = "op/config"
SERVER_KEY_PREFIX = "servers/"
# Beginnings of all keys that an instance reads.
WATCHED_KEY_PREFIXES = ("",)

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
