"""Names of headers, paths, tables and keys that the platform defines."""

#: Identifies one attempt of a client; targets return it in the response.
REQUEST_ID = b"request-id"
#: Milliseconds until the sender stops waiting for the response.
DEADLINE_MS = b"deadline-ms"
#: Cookie that identifies requests for the same object.
AFFINITY_COOKIE = "Affinity-Key"
#: Present when the target itself produced the response.
RESPONSE_SIGNATURE = b"response-signature"
#: Id of the target that the request is addressed to.
EXPECTED_INSTANCE = b"expected-instance"
#: Running requests, waiting requests and slots of a target, separated by commas.
TARGET_LOAD = b"server-load"
#: Present when the target has not executed the request.
NOT_EXECUTED = b"not-executed"
#: Requests per second that a target accepts from all callers together.
RATE_LIMIT = b"server-limit"
#: ``1`` in all responses of a target that shuts down soon.
LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
#: Key by which a client identifies its workspace.
WORKSPACE_KEY = b"x-api-key"
#: Name of the workspace of a request, for targets.
WORKSPACE_NAME = b"tenant-id"

READY_PATH = "/v1/ready"
RESOLVE_PATH = "/v1/resolve"

TRANSACT_PATH = "/v1/rows-tx"
READ_PATH = "/v1/rows-get"
FEED_PATH = "/v1/rows-feed"
#: Response header of the store with its era.
STORE_ERA = "store-era"

#: Table that is written only by operators.
OPERATOR_TABLE = "op"
CONFIG_KEY = "config"
EVACUATE_PREFIX = "evacuate/"
#: Table in which targets register themselves.
TARGET_TABLE = "servers"

SETTINGS_VARIABLE = "HEATHERCLEAT_SETTINGS"
#: Contract of deployments whose callers compete for slots and may read slowly.
CONTENTION_CONTRACT = "pressure"
