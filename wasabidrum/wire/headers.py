"""Names of the HTTP headers that the system reads and writes."""

# Headers that callers send or receive.
REQUEST_ID = "X-Request-Id"
DEADLINE_MILLISECONDS = "X-Deadline-Ms"
IDEMPOTENCY_KEY = "Idempotency-Key"
IDEMPOTENT_REPLAYED = "Idempotent-Replayed"
MODEL_VERSION = "X-Model-Version"
OUTCOME = "X-Outcome"
RETRY_AFTER = "Retry-After"

# Headers between the fleet's processes.
ATTEMPT_ID = "X-Wd-Attempt"
CALL_KEY = "X-Wd-Call-Key"
WORKSPACE = "X-Wd-Workspace"
FORWARDED_METHOD = "X-Wd-Method"
FORWARDED_PATH = "X-Wd-Path"
IDEMPOTENT = "X-Wd-Idempotent"
REVISION = "X-Wd-Revision"
STATUS_ON_ANSWER = "X-Wd-Status"
ERROR_CODE = "X-Wd-Error-Code"
# For how many seconds the endpoint that a response is about wants no more requests.
ENDPOINT_REST = "X-Wd-Rest"
SERVICE = "X-Wd-Service"
START_BEFORE = "X-Wd-Start-Before"
CALL_DIGEST = "X-Wd-Call-Digest"
ANSWER_DIGEST = "X-Wd-Answer-Digest"

# Headers of chunk requests between the fleet's processes.
REQUESTER = "X-Wd-Asker"
REQUESTER_REGION = "X-Wd-Asker-Region"
REQUESTER_RATE = "X-Wd-Asker-Rate"
CHUNK_STATE = "X-Wd-Chunk"
CHUNK_STARTS_IN = "X-Wd-Starts-In"
CHUNK_SECONDS = "X-Wd-Seconds"
