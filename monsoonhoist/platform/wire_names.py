"""Headers, paths and keys that the platform defines for callers, backend servers and its store."""

# Headers of requests. The deadline is the remaining time in milliseconds. The server id is sent to
# backend servers only, and names the one that must run the request.
REQUEST_ID_HEADER = "X-Request-Id"
DEADLINE_HEADER = "X-Deadline-Ms"
SERVER_ID_HEADER = "X-Target-Instance"
# Headers of responses. A backend server adds a proof to each response to a request that it ran. An
# answer that is merged from several shards lists their proofs and the number of missing shards.
PROOF_HEADER = "X-Server-Stamp"
PROOFS_HEADER = "X-Part-Stamps"
MISSING_SHARDS_HEADER = "X-Missing-Parts"
# Header of a backend server that refused a request without running any of it.
NOT_RUN_HEADER = "X-Not-Run"
# Headers in which a backend server describes itself: its load, how many milliseconds it stays
# cold, that it is leaving, and, in a refusal, for how many seconds it is to receive nothing.
LOAD_HEADER = "X-Backend-Load"
COLD_HEADER = "X-Cold-Ms"
LEAVING_HEADER = "Server-Leaving"
LEAVING_VALUE = "1"
WAIT_HEADER = "Retry-After"

# Header of the store's answers that counts how often it has come back from an older copy.
ERA_HEADER = "Store-Era"

READY_PATH = "/api/ready"
RANGE_PATH = "/api/kv-range"
WATCH_PATH = "/api/kv-watch"

CONFIG_KEY = "op/config"
SERVER_KEY_PREFIX = "servers/"
# Prefix of the keys that each evacuate the availability zone that they name.
EVACUATION_KEY_PREFIX = "op/evacuate/"
# Prefix of the keys that operators write, and the prefix that covers every key.
OPERATOR_KEY_PREFIX = "op/"
ALL_KEYS_PREFIX = ""

# Size of one record in the body of a response that is merged with others.
RECORD_BYTES = 16

# Header fields that apply to a single connection (RFC 9110, section 7.6.1; ``trailer`` according
# to RFC 2616, section 13.5.1), in lower case.
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


def is_removable(key: str) -> bool:
    """Returns whether a key that the store no longer lists is out of force."""
    return key.startswith((SERVER_KEY_PREFIX, EVACUATION_KEY_PREFIX))
