// Messages between papayaward processes. Fields are only added, never renumbered.
// Processes link only if their Hello.protocol_version is the same.
namespace py gen

// link_number increases with each connection made by one incarnation of the sender.
struct Hello {
  1: i32 protocol_version
  2: string member
  3: i64 incarnation
  4: string role
  5: string region
  6: string domain
  7: string service_name
  8: string address
  9: i64 config_version
  10: bool draining
  11: i64 link_number
}

// stamp_us and echo_us are readings of the sender's and the receiver's own
// monotonic clocks; evidence_age_ms is -1 when the sender has no evidence.
struct Heartbeat {
  1: i64 stamp_us
  2: i64 echo_us
  3: i64 config_version
  4: i64 evidence_age_ms
  5: bool draining
  6: bool ready
  7: i32 queued
  8: i64 domains_revision
}

struct ConfigPull {
  1: i64 have_version
}

struct ConfigPush {
  1: i64 version
  2: binary text
}

struct Member {
  1: string member
  2: i64 incarnation
  3: string address
  4: string domain
  5: string service_name
}

struct Members {
  1: list<Member> members
}

struct IdBlockRequest {
  1: i64 request_id
  2: i32 count
}

struct IdBlock {
  1: i64 request_id
  2: i64 first
  3: i32 count
  4: i32 ttl_ms
}

struct Submit {
  1: i64 request_id
  2: string job_id
  3: string service_name
  4: string tenant
  5: string job_class
  6: i32 deadline_ms
  7: bool idempotent
  8: list<binary> tasks
}

struct Accepted {
  1: i64 request_id
}

struct Fetch {
  1: i64 request_id
  2: string job_id
  3: bool wait
}

// Asks the job's coordinator to refuse an identifier permanently, unless it is already
// in use.
struct Refuse {
  1: i64 request_id
  2: string job_id
  3: string reason
}

struct Answer {
  1: i64 request_id
  2: string job_id
  3: string outcome
  4: string reason
  5: string detail
  6: list<binary> results
  7: i32 retry_after_ms
  8: i32 started
  9: i64 queue_us
  10: i64 service_us
}

struct Cancel {
  1: i64 request_id
  2: list<string> job_ids
}

struct CancelReply {
  1: i64 request_id
  2: i32 cancelled
}

struct Query {
  1: i64 request_id
  2: string kind
  3: string argument
}

struct QueryReply {
  1: i64 request_id
  2: binary document
}

struct Grant {
  1: string job_id
  2: i32 index
  3: i32 attempt
  4: binary body
  5: i32 deadline_ms
  6: string tenant
  7: string job_class
}

struct RunBatch {
  1: i64 executor_incarnation
  2: list<Grant> grants
}

struct TaskResult {
  1: string job_id
  2: i32 index
  3: i32 attempt
  4: i32 status
  5: binary body
  6: i64 service_us
  7: string reason
}

// used_by_others counts the slots in use for coordinators other than the
// receiver, which knows its own use exactly.
struct SlotReport {
  1: i32 slots
  2: i32 used_by_others
  3: bool accepting
}

struct ResultBatch {
  1: list<TaskResult> results
  2: SlotReport report
}

struct CancelTasks {
  1: list<string> job_ids
}

struct Resources {
  1: i32 cpu_millis
  2: i32 memory_mb
  3: i32 gpus
}

// Requests to start a task that may still be executed, by a later lifetime of this
// upstream instance. Their run may last for this time, in which the task may start there
// only, and under the number `run` that they carry; missing if it is not known. born_ms is
// the start of the latest lifetime that has executed none of them, or whose run under the
// number has been counted, 0 if there is none. executor and incarnation name the process
// that has sent them; they are set in notices only.
// unwanted tells that the run was to be stopped, so that the job may be submitted again.
struct LateStart {
  1: string task
  2: string instance
  3: i32 remaining_ms
  4: optional i32 run
  5: optional i32 requests
  6: optional i64 born_ms
  7: optional string executor
  8: optional i64 incarnation
  9: optional bool unwanted
}

// late_start tells of requests that an earlier process of the executor has sent.
struct TaskStart {
  1: string task
  2: i32 run
  3: optional LateStart late_start
}

// Starts of tasks of one phase of a job. What they share is sent once: a specification
// of a few kilobytes for each task would fill the network interface of a small VM.
// expires_ms is the remaining time after which the results are no longer needed;
// expected_ms is the run time that the sender expects on this executor, declared_ms the
// one that the caller states. priority is that of the queue; may_use_kept tells that the job
// has begun, so that it may use what the executor keeps for more urgent queues. If isolation_limit is positive, the job is isolated: at
// most that many isolated jobs, this one included, may run on the executor at once.
struct StartGroup {
  1: string spec
  2: Resources need
  3: i32 expires_ms
  4: string request_id
  5: i32 expected_ms
  6: list<TaskStart> starts
  7: i32 declared_ms
  8: string queue
  9: i32 isolation_limit
  10: optional i32 priority
  11: optional bool may_use_kept
}

// wants_queues asks for the queues in the reports to the sender from now on.
struct StartBatch {
  1: i64 number
  2: list<StartGroup> groups
  3: optional bool wants_queues
}

struct StopBatch {
  1: list<string> tasks
}

// CPU in use by the tasks of one queue.
struct QueueCpu {
  1: string queue
  2: i32 cpu_millis
}

// beside tells the mean CPU that other tasks used beside a run that was done; missing if
// there were none, and but for the first task of a phase.
struct TaskEnd {
  1: string task
  2: i32 run
  3: string outcome
  4: i64 service_us
  5: optional list<QueueCpu> beside
}

// CPU that an executor keeps free for the tasks of queues of one priority.
struct KeptCpu {
  1: i32 priority
  2: i32 cpu_millis
}

// last_batch is the number of the receiver's latest StartBatch that `free` takes into
// account. peer_runs is the number of runs for other entries that were done since the
// last report; peer_ratio is the geometric mean of their actual over their declared run
// time. isolated_peer_jobs is the number of isolated jobs of other entries that run there.
// unsettled lists the receiver's tasks up to last_batch whose start may still be executed;
// missing if there are none. taken_over tells whether the starts of earlier processes of
// the executor take no effect any more and their runs have ended. unsettled_peer_tasks
// lists tasks of other entries whose start may still be executed although they are to be
// stopped or are undecided, or a request to start them had no reply; missing if there are
// none. late_starts lists the tasks of all entries without a run that have come to be late
// starts since the last report on the link, and all of them in its first report; missing if there are
// none. unsettled_starts tells of the requests to start the tasks of unsettled_peer_tasks,
// and of those of unsettled that had a request without a reply or have another number than
// the receiver has chosen; a request that is not answered yet counts. kept is part of free;
// missing if nothing is kept. queues tells what is in use now, to receivers that ask for it.
struct RoomReport {
  1: i64 last_batch
  2: Resources free
  3: Resources capacity
  4: bool accepting
  5: list<string> labels
  6: string upstream
  7: i32 peer_runs
  8: double peer_ratio
  9: i32 isolated_peer_jobs
  10: optional list<string> unsettled
  11: optional bool taken_over
  12: optional list<string> unsettled_peer_tasks
  13: optional list<LateStart> late_starts
  14: optional list<LateStart> unsettled_starts
  15: optional list<KeptCpu> kept
  16: optional list<QueueCpu> queues
}

// A run that takes far longer than expected.
struct SlowRun {
  1: string task
  2: i32 remaining_ms
  3: i32 elapsed_ms
}

struct EndBatch {
  1: list<TaskEnd> ends
  2: optional RoomReport room
  3: optional list<SlowRun> slow
}

// First message on each link: the tasks that the executor still runs for the receiver.
struct RunningTasks {
  1: list<string> tasks
}

// The tasks of one job that ran on an upstream when it crashed. `weight` is the
// likelihood of the crash if the job is its cause, up to a common factor.
struct CrashedJob {
  1: string queue
  2: list<string> tasks
  3: double weight
  // Those of the tasks that are known to have been running.
  4: list<string> started
}

// An upstream that ended without notice. `upstream` names the instance, so that each
// process handles and forwards the notice once.
struct CrashNotice {
  1: string upstream
  2: i32 age_ms
  3: list<CrashedJob> jobs
  4: string service_name
  // Time before `age_ms` in which the crash may have happened as well.
  5: i32 uncertainty_ms
  // Whether another lifetime or instance has replied in its place. A crash is suspected
  // if it is missing.
  6: optional bool known
  // Wall time at which the executor noticed the crash; missing if another process did.
  7: optional i64 noticed_ms
}

// An upstream has replied that was suspected to have crashed: the notices of it with
// this `noticed_ms` or a lower one are void unless the crash is known.
struct CrashWithdrawal {
  1: string upstream
  2: i64 noticed_ms
  3: i32 age_ms
}

struct CrashNotices {
  1: list<CrashNotice> notices
  2: optional list<CrashWithdrawal> withdrawals
  // Upstreams that refuse connections while the lease of their runs goes on. They count
  // only for the guards of queues; a withdrawal voids them as well.
  3: optional list<CrashNotice> refusals
  // Requests that executors which are out of reach have told of.
  4: optional list<LateStart> late_starts
}

struct DomainsPush {
  1: i64 revision
  2: list<string> domains_out
}
