use std::time::{SystemTime, UNIX_EPOCH};

use crate::clock::ClockMillis;

/// Returns the time since the Unix epoch; only proofs compare it between processes.
pub(crate) fn unix_time_now() -> ClockMillis {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    ClockMillis::new(u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX))
}
