use crate::clock::SpanMillis;

/// Interval between the registrations of a replica without a group, and between
/// the attempts of a seed to recover its memory.
pub(crate) const RETRY_MILLIS: SpanMillis = SpanMillis::new(100);
/// How long a registration counts.
pub(crate) const REGISTRATION_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// Time after a seed's start in which more replicas than needed may register: VMs
/// start within 300 ms of each other.
pub(crate) const GATHER_MILLIS: SpanMillis = SpanMillis::new(500);
/// Founders with which no seed waits for further ones.
pub(crate) const AMPLE_FOUNDERS: usize = 3;
/// Time after a seed's start from which the group forms with as many founders as keep
/// its state if the tolerated number of them is lost.
pub(crate) const FEW_FOUNDERS_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// Time after a seed's start from which any founder is enough.
pub(crate) const ANY_FOUNDER_MILLIS: SpanMillis = SpanMillis::new(3_500);
/// Time after its start for which the only seed, if it has forgotten, listens for
/// anyone who knows a group. Entry VMs that know one tell the seeds every three seconds.
pub(crate) const QUIET_MILLIS: SpanMillis = SpanMillis::new(4_000);
/// Delay of a proposer for each seed that goes before it.
pub(crate) const RANK_DELAY_MILLIS: SpanMillis = SpanMillis::new(150);
/// How long the phases of a proposal may take together.
pub(crate) const BALLOT_MILLIS: SpanMillis = SpanMillis::new(400);
/// Longest random pause before the next proposal of a seed.
pub(crate) const MAX_BACKOFF_MILLIS: SpanMillis = SpanMillis::new(600);
/// Most initial members; they fit in one datagram.
pub(crate) const MAX_FOUNDERS: usize = 9;
/// Most replicas without a group that a seed keeps track of.
pub(crate) const MAX_REGISTRATIONS: usize = 64;
/// How far the round of a ballot may exceed the rounds known here.
pub(crate) const MAX_ROUND_STEP: u64 = 1 << 16;
