"""Names on the platform's wire: headers, paths, keys of the store."""

# Headers that callers, this system and endpoints exchange.
REQUEST_ID = "Wasabidrum-Request-Id"
# Milliseconds that are left, not a time of day.
DEADLINE = "Wasabidrum-Request-Deadline"
SIGNATURE = "Wasabidrum-Response-Signature"
# Says that the endpoint refused before it began.
NOT_EXECUTED = "Wasabidrum-Not-Executed"
EXPECT_INSTANCE = "Wasabidrum-Expect-Instance"
EXPECT_VERSION = "Wasabidrum-Expect-Version"
# Which endpoint answers, where another than the expected one does.
INSTANCE = "Wasabidrum-Instance-Id"
TENANT = "Wasabidrum-Tenant"
PRIORITY = "Wasabidrum-Request-Priority"
MODEL = "Wasabidrum-Model"
# Prompt tokens, a comma, and the most tokens of the answer.
TOKEN_USAGE = "Wasabidrum-Token-Usage"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"

READY_PATH = "/wasabidrum/ready"
REPORT_PATH = "/wasabidrum/report"
ORDER_PATH = "/wasabidrum/order"
MANIFEST_PATH = "/wasabidrum/manifest/"
PIECE_PATH = "/wasabidrum/piece/"
STAGE_PUT_PATH = "/wasabidrum/stage-put/"
STAGE_GET_PATH = "/wasabidrum/stage-get/"
STORE_RANGE_PATH = "/wasabidrum/kv-range"
STORE_WATCH_PATH = "/wasabidrum/kv-watch"

CONFIGURATION_KEY = "op/config"
VERSION_PREFIX = "op/version/"
ENDPOINT_PREFIX = "servers/"

SETTINGS_VARIABLE = "WASABIDRUM_CONFIG"
