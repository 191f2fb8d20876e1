use crate::clock::SpanMillis;

/// How often the shell wakes the core.
pub(crate) const TICK_MILLIS: SpanMillis = SpanMillis::new(25);
/// How often a leader speaks to each member.
pub(crate) const HEARTBEAT_MILLIS: SpanMillis = SpanMillis::new(150);
/// The shortest silence of a leader after which an election may start.
pub(crate) const ELECTION_MIN_MILLIS: SpanMillis = SpanMillis::new(600);
/// The longest silence of a leader after which an election starts; a leader
/// that has not heard a majority for as long steps down.
pub(crate) const ELECTION_MAX_MILLIS: SpanMillis = SpanMillis::new(1_200);
/// The shortest wait for a leader after a start; trial votes keep a replica that
/// starts alone from disturbing a leader.
pub(crate) const FIRST_ELECTION_MIN_MILLIS: SpanMillis = SpanMillis::new(150);
/// The longest wait for a leader after a start.
pub(crate) const FIRST_ELECTION_MAX_MILLIS: SpanMillis = SpanMillis::new(500);
/// The shortest pause before a candidate that was not elected tries again.
pub(crate) const ELECTION_RETRY_MIN_MILLIS: SpanMillis = SpanMillis::new(100);
/// The longest pause before a candidate that was not elected tries again.
pub(crate) const ELECTION_RETRY_MAX_MILLIS: SpanMillis = SpanMillis::new(400);
/// How long entries or a chunk may stay unanswered before they are sent again.
pub(crate) const RESEND_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How often a replica outside the group asks to join.
pub(crate) const JOIN_RETRY_MILLIS: SpanMillis = SpanMillis::new(500);
/// How long a peer's word that its disk is empty holds.
pub(crate) const EMPTY_PEER_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// How long a voter is silent before an open group removes it.
pub(crate) const VOTER_REMOVAL_MILLIS: SpanMillis = SpanMillis::new(3_000);
/// How long a voter of an open group hears no leader before it asks to join
/// again, since it may have been removed.
pub(crate) const REJOIN_MILLIS: SpanMillis = SpanMillis::new(2_500);
/// How long a follower waits for the leader to confirm a read.
pub(crate) const READ_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(1_000);

/// The largest change in bytes.
pub(crate) const MAX_ENTRY_BYTES: usize = 8 << 20;
/// The most bytes of entries in one message, unless a single entry is larger.
pub(crate) const MAX_APPEND_BYTES: usize = 1 << 20;
/// The most entries in one message.
pub(crate) const MAX_APPEND_ENTRIES: usize = 512;
/// The most unanswered messages with entries for one member.
pub(crate) const MAX_APPENDS_IN_FLIGHT: usize = 8;
/// The most changes that wait for their commit.
pub(crate) const MAX_PENDING_PROPOSALS: usize = 1_024;
/// The most bytes of changes that wait for their commit.
pub(crate) const MAX_PENDING_BYTES: usize = 32 << 20;
/// The most reads that wait for their confirmation.
pub(crate) const MAX_PENDING_READS: usize = 4_096;
/// The most replicas that may ask to join at a time.
pub(crate) const MAX_JOIN_REQUESTS: usize = 16;

/// The bytes of one chunk of a snapshot.
pub(crate) const SNAPSHOT_CHUNK_BYTES: usize = 256 << 10;
/// The largest snapshot in bytes.
pub(crate) const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// The applied entries after which the log is compacted.
pub(crate) const COMPACTION_ENTRIES: u64 = 4_096;
/// The bytes of held entries after which the log is compacted.
pub(crate) const COMPACTION_BYTES: usize = 16 << 20;
/// The entries that stay after a compaction, for members that lag a little.
pub(crate) const RETAINED_ENTRIES: u64 = 1_024;
/// The most bytes of entries that stay after a compaction.
pub(crate) const RETAINED_BYTES: usize = 8 << 20;
