"""Names of the platform's headers and topics."""

REQUEST_ID = "Shallotpath-Request-Id"
# Time that is left for the request, not a point in time.
DEADLINE_MS = "Shallotpath-Deadline-Ms"
API_KEY = "X-Api-Key"
# Team to which the key of the caller belongs.
TEAM = "Shallotpath-Tenant"
# Id of the upstream that the request is meant for.
EXPECT_ID = "Shallotpath-Expect-Instance"
# Id of the upstream that responds.
OWN_ID = "Shallotpath-Instance-Id"
# Version of the weights that the upstream must hold.
EXPECT_VERSION = "Shallotpath-Expect-Version"
PRIORITY = "Shallotpath-Request-Priority"
# Addresses and layer ranges, such as `1.2.3.4:5=0-4`; callers may not set it.
PATH = "Path"
# Set by an upstream that refused the request before executing it.
NOT_EXECUTED = "Shallotpath-Not-Executed"
# Set to 1 in all responses of an upstream that leaves.
LEAVING = "Server-Leaving"
# Running and waiting requests and slots, and at some upstreams the time that work
# takes, in percent of the usual one, separated by commas.
SERVER_LOAD = "Shallotpath-Server-Load"
# Present in every valid response of an upstream below status 500.
SEAL = "Shallotpath-Server-Seal"
MODEL = "Shallotpath-Model"
# Number of prompt tokens and limit of output tokens, separated by a comma.
TOKENS = "Shallotpath-Token-Counts"
# Parts of the prompt in order, as `ID:TOKENS,ID:TOKENS`; requests share parts, except
# the last one.
PROMPT_PARTS = "Shallotpath-Prompt-Prefix"
LAST_EVENT_ID = "Last-Event-Id"

# Process that has a duty, and the number that rises when it changes.
DUTY_HOLDER = "Shallotpath-Duty-Holder"
FENCING_TOKEN = "Shallotpath-Fencing-Token"

# Sent by the store in all answers; rises when the store comes back from an older copy.
STORE_ERA = "Store-Era"

OPERATOR_TOPIC = "keyed.op"
UPSTREAM_TOPIC = "keyed.servers"
MEMBER_TOPIC = "keyed.shallot-members"
DUTY_TOPIC = "keyed.shallot-duties"
