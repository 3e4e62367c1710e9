"""Names of the log topics that the placer owns."""

# Submissions, cancellations and states of jobs; read by every host.
JOBS = "keyed.laburnumgate-jobs"
# Progress of each open job; read only by a new leader.
PROGRESS = "keyed.laburnumgate-progress"
# Key of the endpoint speeds in the progress topic. It cannot collide with a job
# id, because those are hexadecimal.
SPEEDS_KEY = "speeds"
# Key of the maintained machines of each wave, likewise.
WAVES_KEY = "waves"
# Key of the start orders that may still be carried out, likewise.
STARTS_KEY = "starts"
# Claims and heartbeats of the leader.
LEADER = "laburnumgate-leader"
