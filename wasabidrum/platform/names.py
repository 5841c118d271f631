"""Names defined by the platform's protocol: headers, paths and store keys."""

# Headers that callers, this system and endpoints exchange.
REQUEST_ID = "Wasabidrum-Request-Id"
# The remaining time in milliseconds, not a time of day.
DEADLINE = "Wasabidrum-Request-Deadline"
SIGNATURE = "Wasabidrum-Response-Signature"
# Set where the endpoint refused a request before it began to execute it.
NOT_EXECUTED = "Wasabidrum-Not-Executed"
EXPECT_INSTANCE = "Wasabidrum-Expect-Instance"
EXPECT_VERSION = "Wasabidrum-Expect-Version"
# The endpoint that answers, where it is not the expected one.
INSTANCE = "Wasabidrum-Instance-Id"
# The requests a second that an endpoint in need takes from all instances together.
STATED_LIMIT = "Server-Limit"
# For how many milliseconds an endpoint is cold.
COLD_TIME = "Wasabidrum-Cold-Ms"
# Set to "1" by an endpoint that leaves.
LEAVING = "Server-Leaving"
TENANT = "Wasabidrum-Tenant"
PRIORITY = "Wasabidrum-Request-Priority"
MODEL = "Wasabidrum-Model"
# Prompt tokens, a comma, and the maximum number of tokens of the answer.
TOKEN_USAGE = "Wasabidrum-Token-Usage"
# The prompt's parts in order, as comma-separated entries of a hexadecimal id, a colon and tokens.
PROMPT_PREFIX = "Wasabidrum-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"
AUTHORIZATION = "Authorization"
RETRY_AFTER = "Retry-After"
# In all answers of the store; rises by one when it comes back from a copy.
STORE_ERA = "Store-Era"

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
# Followed by the data centre that is to be evacuated.
EVACUATION_PREFIX = "op/evacuate/"

SETTINGS_VARIABLE = "WASABIDRUM_CONFIG"
