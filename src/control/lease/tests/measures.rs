//! Measures two data structures for leases at the size that the design is for.
//!
//! A debug build runs with fewer leases over a shorter time, as a smoke test.

use std::{
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use crate::{
    clock::ClockMillis,
    control::lease::{LEASE_MILLIS, LeaseHolder, LeaseTable},
    key::{IncarnationId, ServiceNumber, TargetKey},
};

const LEASES: u32 = if cfg!(debug_assertions) {
    5_000
} else {
    100_000
};
/// The milliseconds between two heartbeats of one target.
const HEARTBEAT_PERIOD_MILLIS: u64 = 5_000;
/// The simulated time in milliseconds.
const SIMULATED_MILLIS: u64 = if cfg!(debug_assertions) {
    15_000
} else {
    60_000
};

fn holders() -> Vec<LeaseHolder> {
    let holder = |index: u32| LeaseHolder {
        target: TargetKey::new(std::net::SocketAddrV4::new(index.into(), 7_000)),
        incarnation: IncarnationId::new(u64::from(index)),
        service: ServiceNumber::new(u16::try_from(index / 8).expect("few services")),
    };
    (0..LEASES).map(holder).collect()
}

/// Returns the targets that send a heartbeat at the millisecond `now`.
fn due_at(now: u64) -> impl Iterator<Item = usize> {
    let first = usize::try_from(now % HEARTBEAT_PERIOD_MILLIS).expect("a small number");
    (first..LEASES as usize)
        .step_by(usize::try_from(HEARTBEAT_PERIOD_MILLIS).expect("a small number"))
}

#[test]
fn heap_with_lazy_renewal() {
    let holders = holders();
    let mut table = LeaseTable::with_holders(holders.iter().copied(), ClockMillis::ORIGIN);
    let (start, mut renewed) = (Instant::now(), 0_u64);
    for now in 0..SIMULATED_MILLIS {
        for index in due_at(now) {
            let holder = holders[index];
            let at = ClockMillis::new(now);
            renewed += u64::from(table.renew(holder.target, holder.incarnation, at));
        }
        if now % 250 == 0 {
            assert!(
                table
                    .decide_expiries(ClockMillis::new(now))
                    .expired
                    .is_empty()
            );
        }
    }
    report("heap", start, renewed);
}

#[test]
fn ordered_set_with_eager_renewal() {
    let holders = holders();
    let mut deadlines = HashMap::new();
    let mut order = BTreeSet::new();
    for holder in &holders {
        deadlines.insert(holder.target, LEASE_MILLIS.millis());
        order.insert((LEASE_MILLIS.millis(), holder.target));
    }
    let (start, mut renewed) = (Instant::now(), 0_u64);
    for now in 0..SIMULATED_MILLIS {
        for index in due_at(now) {
            let target = holders[index].target;
            let deadline = deadlines
                .get_mut(&target)
                .expect("a deadline of each target");
            order.remove(&(*deadline, target));
            *deadline = now + LEASE_MILLIS.millis();
            order.insert((*deadline, target));
            renewed += 1;
        }
        assert!(order.first().is_some_and(|(deadline, _)| *deadline > now));
    }
    report("ordered set", start, renewed);
}

fn report(structure: &str, start: Instant, renewed: u64) {
    let nanos = start.elapsed().as_nanos() / u128::from(renewed);
    println!("{structure}: {nanos} ns per heartbeat over {renewed} heartbeats of {LEASES} leases");
}
