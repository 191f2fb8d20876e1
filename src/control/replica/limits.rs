use crate::clock::SpanMillis;

/// Interval between tick events.
pub(crate) const TICK_MILLIS: SpanMillis = SpanMillis::new(25);
/// Interval between a leader's heartbeats.
pub(crate) const HEARTBEAT_MILLIS: SpanMillis = SpanMillis::new(150);
/// Shortest election timeout. A replica that heard from a leader more recently
/// grants a vote only for a leadership transfer.
pub(crate) const ELECTION_MIN_MILLIS: SpanMillis = SpanMillis::new(600);
/// Longest election timeout. A leader that has not heard from a majority for
/// this long steps down.
pub(crate) const ELECTION_MAX_MILLIS: SpanMillis = SpanMillis::new(1_200);
/// Silence of the leader from which on callers are not sent to it: two heartbeats are
/// missing. It stays the leader until the election timeout.
pub(crate) const LEADER_DOUBT_MILLIS: SpanMillis = SpanMillis::new(400);
/// Longest pause before a pre-vote after the leader's process was found to be gone.
/// Random pauses let one of the followers go first.
pub(crate) const LEADER_GONE_PAUSE_MILLIS: SpanMillis = SpanMillis::new(50);
/// Shortest election timeout after a start. It may be short because pre-votes
/// keep a replica that starts alone from deposing a leader.
pub(crate) const FIRST_ELECTION_MIN_MILLIS: SpanMillis = SpanMillis::new(150);
/// Longest election timeout after a start.
pub(crate) const FIRST_ELECTION_MAX_MILLIS: SpanMillis = SpanMillis::new(500);
/// Shortest pause before a candidate that was not elected tries again.
pub(crate) const ELECTION_RETRY_MIN_MILLIS: SpanMillis = SpanMillis::new(100);
/// Longest pause before a candidate that was not elected tries again.
pub(crate) const ELECTION_RETRY_MAX_MILLIS: SpanMillis = SpanMillis::new(400);
/// Longest pause before an election after several fruitless ones.
pub(crate) const MAX_ELECTION_MILLIS: SpanMillis = SpanMillis::new(20_000);
/// Fruitless elections of a replica in a row before its pauses grow.
pub(crate) const PROMPT_ELECTIONS: u64 = 2;
/// Most doublings of the pauses.
pub(crate) const MAX_ELECTION_DOUBLINGS: u64 = 6;
/// Every so many rounds of pre-votes a candidate grants the pre-votes of one that ranks
/// lower, since it may be unable to win itself.
pub(crate) const YIELDING_ROUND_INTERVAL: u32 = 3;
/// Time without an acknowledgement after which entries or a snapshot chunk are
/// sent again.
pub(crate) const RESEND_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How far the term of a message may be ahead: a replica that was cut off for years, with
/// ten elections a second, is behind by less.
pub(crate) const MAX_TERM_STEP: u64 = 1 << 32;
/// Interval between join requests.
pub(crate) const JOIN_RETRY_MILLIS: SpanMillis = SpanMillis::new(500);
/// How long a peer's report of an empty disk counts when a group is formed.
pub(crate) const EMPTY_PEER_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// Silence after which an open group removes a member.
pub(crate) const SILENT_REMOVAL_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// Time without a leader after which a voter of an open group requests to join
/// again, because it may have been removed.
pub(crate) const REJOIN_MILLIS: SpanMillis = SpanMillis::new(2_500);
/// How long a follower's read may take from its read-index request until the
/// confirmed index is applied.
pub(crate) const READ_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// Largest payload of one change.
pub(crate) const MAX_ENTRY_BYTES: usize = 8 << 20;
/// Most bytes of entries in one append message, unless a single entry is larger.
pub(crate) const MAX_APPEND_BYTES: usize = 1 << 20;
/// Most entries in one append message.
pub(crate) const MAX_APPEND_ENTRIES: usize = 512;
/// Most unacknowledged append messages per member.
pub(crate) const MAX_APPENDS_IN_FLIGHT: usize = 8;
/// Most proposals that wait to be committed.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 1_024;
/// Most bytes of proposals that wait to be committed.
pub(crate) const MAX_PENDING_BYTES: usize = 32 << 20;
/// Most reads that wait for confirmation, on the leader and on each follower.
pub(crate) const MAX_PENDING_READS: usize = 4_096;
/// Most join requests that a leader queues.
pub(crate) const MAX_JOIN_REQUESTS: usize = 16;

/// Size of a snapshot chunk.
pub(crate) const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// Largest snapshot that a follower accepts.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// Entries applied since the last snapshot after which the log is compacted.
pub(crate) const COMPACTION_ENTRIES: u64 = 4_096;
/// Bytes of log entries in memory after which the log is compacted.
pub(crate) const COMPACTION_BYTES: usize = 16 << 20;
/// Entries before the snapshot that a compaction retains, so that members that
/// lag a little need no snapshot.
pub(crate) const RETAINED_ENTRIES: u64 = 1_024;
/// Most bytes of entries that a compaction retains.
pub(crate) const RETAINED_BYTES: usize = 8 << 20;
