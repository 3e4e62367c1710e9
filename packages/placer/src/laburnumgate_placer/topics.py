"""Names of the topics in the log that belong to the product."""

# Submissions, cancellations and states of jobs; every host follows it.
JOBS = "keyed.laburnumgate-jobs"
# Runs of each open job; only the leader reads it, when it takes over.
PROGRESS = "keyed.laburnumgate-progress"
# Key in the progress topic under which endpoints' speeds are kept; job ids
# are hexadecimal, so that it cannot be one.
SPEEDS_KEY = "speeds"
# Likewise for the machines of each wave that had their upkeep.
WAVES_KEY = "waves"
# Claims and heartbeats of the leader.
LEADER = "laburnumgate-leader"
