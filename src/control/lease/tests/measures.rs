//! Two ways to keep leases, at the size that the design is for.

use std::{
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use crate::{
    clock::ClockMillis,
    control::lease::{LEASE_MILLIS, LeaseClaim, LeaseTable},
    key::{IncarnationId, ServiceNumber, TargetKey},
};

const LEASES: u32 = 100_000;
/// The milliseconds between two heartbeats of one target.
const PERIOD: u64 = 5_000;
/// The milliseconds that are played.
const PLAYED: u64 = 60_000;

fn claims() -> Vec<LeaseClaim> {
    let claim = |index: u32| LeaseClaim {
        target: TargetKey::new(std::net::SocketAddrV4::new(index.into(), 7_000)),
        incarnation: IncarnationId::new(u64::from(index)),
        service: ServiceNumber::new(u16::try_from(index / 8).expect("few services")),
    };
    (0..LEASES).map(claim).collect()
}

/// The targets whose heartbeat comes at a millisecond.
fn due_at(now: u64) -> impl Iterator<Item = usize> {
    let first = usize::try_from(now % PERIOD).expect("small");
    (first..LEASES as usize).step_by(usize::try_from(PERIOD).expect("small"))
}

#[test]
#[ignore = "a measurement, not a check"]
fn heap_with_lazy_renewal() {
    let claims = claims();
    let mut table = LeaseTable::with_claims(claims.iter().copied(), ClockMillis::ORIGIN);
    let (start, mut renewed) = (Instant::now(), 0_u64);
    for now in 0..PLAYED {
        for index in due_at(now) {
            let claim = claims[index];
            let at = ClockMillis::new(now);
            renewed += u64::from(table.renew(claim.target, claim.incarnation, at));
        }
        if now % 250 == 0 {
            assert!(table.decide(ClockMillis::new(now)).expired.is_empty());
        }
    }
    report("heap", start, renewed);
}

#[test]
#[ignore = "a measurement, not a check"]
fn ordered_set_with_eager_renewal() {
    let claims = claims();
    let mut deadlines = HashMap::new();
    let mut order = BTreeSet::new();
    for claim in &claims {
        deadlines.insert(claim.target, LEASE_MILLIS.millis());
        order.insert((LEASE_MILLIS.millis(), claim.target));
    }
    let (start, mut renewed) = (Instant::now(), 0_u64);
    for now in 0..PLAYED {
        for index in due_at(now) {
            let target = claims[index].target;
            let deadline = deadlines.get_mut(&target).expect("kept");
            order.remove(&(*deadline, target));
            *deadline = now + LEASE_MILLIS.millis();
            order.insert((*deadline, target));
            renewed += 1;
        }
        assert!(order.first().is_some_and(|(deadline, _)| *deadline > now));
    }
    report("ordered set", start, renewed);
}

fn report(way: &str, start: Instant, renewed: u64) {
    let nanos = start.elapsed().as_nanos() / u128::from(renewed);
    println!("{way}: {nanos} ns a heartbeat over {renewed} heartbeats of {LEASES} leases");
}
