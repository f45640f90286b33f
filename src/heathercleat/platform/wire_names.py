"""Names on the platform's wire: headers, calls, tables and keys."""

#: Identifies one attempt of a client; targets echo it.
REQUEST_ID = b"request-id"
#: Milliseconds that the sender waits for the answer.
DEADLINE_MS = b"deadline-ms"
#: Name of the cookie that groups requests for the same object.
AFFINITY_COOKIE = "Affinity-Key"
#: A target's proof that the answer is its own.
RESPONSE_SIGNATURE = b"response-signature"
#: The incarnation of a target that a request is meant for.
EXPECTED_INSTANCE = b"expected-instance"
#: Running requests, waiting requests and slots of a target, with commas.
TARGET_LOAD = b"server-load"
#: Present when a target says that it has not run the request.
NOT_EXECUTED = b"not-executed"
RETRY_AFTER = b"retry-after"

READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

TRANSACT_PATH = "/v1/rows-tx"
READ_PATH = "/v1/rows-get"
FEED_PATH = "/v1/rows-feed"

#: The operators' table, which only they write.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
#: The targets' own entries.
TARGET_TABLE = "servers"

SETTINGS_VARIABLE = "HEATHERCLEAT_SETTINGS"
