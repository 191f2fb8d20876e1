//! Accepted changes survive killed replicas, lost disks and frozen leaders.

mod control_group;

use std::{net::SocketAddrV4, time::Duration};

use control_group::{
    ControlGroup, WAIT_TIMEOUT, apply_once, apply_until_accepted, manifest, wait_until,
};
use cyclamenrouter::{
    control::{api::AnnounceRequest, client::ControlClient},
    key::{FailureDomain, IncarnationId, TargetKey},
    route::TargetPhase,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout};

/// The event of a leader that has seen a newer term.
const LEADER_DEPOSED: u16 = 1122;
/// The event of a completed repair of a replica's data.
const REPAIR_DONE: u16 = 1126;
/// The event of a leader whose majority does not answer.
const QUORUM_LOST: u16 = 1123;
/// The largest value that a measurement records, in its unit.
const HISTOGRAM_MAX: u64 = 100_000_000;
/// How long to wait for a call that must not succeed.
const BLOCKED_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// How often a process is killed while changes are applied.
const KILLS: usize = 8;

/// Applies the versions after `last` until the process is killed after `uptime`.
///
/// Returns the last acknowledged version.
async fn change_until_killed(group: &mut ControlGroup, last: u64, uptime: Duration) -> u64 {
    let client = group.client(&[0]);
    let mut acknowledged = last;
    let changes = async {
        loop {
            let applied = apply_once(&client, acknowledged + 1).await;
            applied.expect("the process runs");
            acknowledged += 1;
        }
    };
    tokio::select! {
        () = changes => {}
        () = sleep(uptime) => {}
    }
    // A change may be in progress at this point.
    group.kill(0);
    acknowledged
}

#[tokio::test]
async fn acknowledged_changes_survive_a_kill() {
    let mut group = ControlGroup::start(1);
    let mut generator = StdRng::seed_from_u64(40);
    let mut last = 0;
    let mut changes = 0;
    for _ in 0..KILLS {
        group.status().await;
        let uptime = Duration::from_millis(generator.random_range(20..400));
        let acknowledged = change_until_killed(&mut group, last, uptime).await;
        group.restart(0);
        let status = group.status().await;
        let found = status.manifest_version;
        // The change in progress at the kill may or may not be in force.
        assert!(
            found == acknowledged || found == acknowledged + 1,
            "{acknowledged} was acknowledged, {found} is in force"
        );
        if found > 0 {
            let digest = manifest(found).digest();
            assert_eq!(status.manifest_digest, Some(digest));
        }
        changes += acknowledged - last;
        last = found;
    }
    assert!(changes > 0, "no change was acknowledged between the kills");
}

#[tokio::test]
async fn a_killed_leader_takes_nothing_accepted_along() {
    let mut group = ControlGroup::start(3);
    let mut version = 0;
    for _ in 0..3 {
        for _ in 0..5 {
            version += 1;
            apply_until_accepted(&group.client_for_all(), version).await;
        }
        let leader = group.leader().await;
        group.kill(leader);
        let status = group.status().await;
        assert_eq!(status.manifest_version, version);
        version += 1;
        apply_until_accepted(&group.client_for_all(), version).await;
        group.restart(leader);
    }
    for index in 0..3 {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let status = loop {
            match group.status_at(index).await {
                Ok(status) => break status,
                Err(error) => assert!(Instant::now() < deadline, "replica {index}: {error}"),
            }
            sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(status.manifest_version, version, "replica {index}");
    }
}

#[tokio::test]
async fn a_stopping_leader_hands_over_first() {
    let mut group = ControlGroup::start(3);
    apply_until_accepted(&group.client_for_all(), 1).await;
    let old = group.leader().await;
    let before = group.count_events(old, LEADER_DEPOSED);
    group.stop(old);
    // Another leader was elected while the old one was still running.
    assert_eq!(group.count_events(old, LEADER_DEPOSED), before + 1);
    apply_until_accepted(&group.client_for_all(), 2).await;
}

#[tokio::test]
async fn a_resumed_leader_serves_no_stale_reads() {
    let group = ControlGroup::start(3);
    apply_until_accepted(&group.client_for_all(), 1).await;
    let frozen = group.leader().await;
    group.freeze(frozen).await;
    let others: Vec<usize> = (0..3).filter(|index| *index != frozen).collect();
    apply_until_accepted(&group.client(&others), 2).await;
    // This call waits in the frozen process and is answered once it resumes.
    let waiting = group.status_at(frozen);
    let resume = async {
        sleep(Duration::from_millis(300)).await;
        group.signal(frozen, "CONT");
    };
    let (waited, ()) = tokio::join!(waiting, resume);
    if let Ok(status) = waited {
        assert_eq!(status.manifest_version, 2, "the frozen leader is stale");
    }
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        match group.status_at(frozen).await {
            Ok(status) => {
                assert_eq!(status.manifest_version, 2, "the resumed leader is stale");
                break;
            }
            Err(error) => assert!(
                Instant::now() < deadline,
                "it never becomes a follower: {error}"
            ),
        }
    }
}

#[tokio::test]
async fn a_replica_without_a_majority_answers_nothing() {
    let mut group = ControlGroup::start(3);
    apply_until_accepted(&group.client_for_all(), 1).await;
    let leader = group.leader().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    for other in &others {
        group.freeze(*other).await;
    }
    // The leader has not noticed yet; even so it must not serve reads or accept
    // changes alone.
    let client = group.client(&[leader]);
    let (read, early_change) = tokio::join!(
        group.status_at(leader),
        timeout(BLOCKED_CALL_TIMEOUT, apply_once(&client, 2))
    );
    assert!(read.is_err(), "a read was served without a majority");
    assert!(
        !matches!(early_change, Ok(Ok(()))),
        "a change was accepted before the loss was noticed"
    );
    wait_until("the leader reports the loss of its majority", || {
        group.count_events(leader, QUORUM_LOST) > 0
    })
    .await;
    assert!(group.status_at(leader).await.is_err());
    let late_change = timeout(
        BLOCKED_CALL_TIMEOUT,
        apply_once(&group.client(&[leader]), 2),
    )
    .await;
    assert!(
        !matches!(late_change, Ok(Ok(()))),
        "a change was accepted without a majority"
    );
    for other in &others {
        group.signal(*other, "CONT");
    }
    let found = group.status().await.manifest_version;
    // Version 2 may or may not be in force, but its outcome must not change later.
    assert!(found == 1 || found == 2, "{found} is in force");
    group.kill(leader);
    for version in found + 1..4 {
        apply_until_accepted(&group.client_for_all(), version).await;
    }
    assert_eq!(group.status().await.manifest_version, 3);
}

#[tokio::test]
async fn a_second_disk_is_lost_right_after_a_repair_is_done() {
    let mut group = ControlGroup::start(3);
    apply_until_accepted(&group.client_for_all(), 1).await;
    let leader = group.leader().await;
    let first = (leader + 1) % 3;
    group.wipe_disk(first);
    for version in 2..6 {
        apply_until_accepted(&group.client_for_all(), version).await;
    }
    group.restart(first);
    let repairs = |group: &ControlGroup| -> usize {
        (0..3)
            .map(|index| group.count_events(index, REPAIR_DONE))
            .sum()
    };
    wait_until("the repair completes", || repairs(&group) == 1).await;
    let second = group.leader().await;
    group.wipe_disk(second);
    let status = group.status().await;
    assert_eq!(status.manifest_version, 5);
    apply_until_accepted(&group.client_for_all(), 6).await;
    group.restart(second);
    wait_until("the second repair completes", || repairs(&group) == 2).await;
    assert_eq!(group.status().await.manifest_version, 6);
}

/// Measures the throughput and latency of changes on the built program.
///
/// Run with `--release -- --nocapture measure`; a debug build runs a short
/// version that only checks that the code works.
#[tokio::test(flavor = "multi_thread")]
async fn measure_accepted_changes() {
    const SPAN: Duration = Duration::from_millis(if cfg!(debug_assertions) { 200 } else { 5_000 });
    for (replicas, callers) in [(1, 1), (1, 64), (3, 1), (3, 64)] {
        let group = ControlGroup::start(replicas);
        apply_until_accepted(&group.client_for_all(), 1).await;
        let tasks: Vec<_> = (0..callers)
            .map(|caller| tokio::spawn(announce_continuously(group.client_for_all(), caller, SPAN)))
            .collect();
        let mut latencies =
            Histogram::<u64>::new_with_max(HISTOGRAM_MAX, 3).expect("a valid range");
        for task in tasks {
            for micros in task.await.expect("no panic") {
                latencies.saturating_record(micros);
            }
        }
        println!(
            "{replicas} replicas, {callers} callers: {} changes/s, p50 {} us, p99 {} us, max {} us",
            u128::from(latencies.len()) * 1_000 / SPAN.as_millis(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.max(),
        );
    }
}

/// Announces one target with changing weights for `span`.
///
/// Returns the latency of each call in microseconds.
async fn announce_continuously(client: ControlClient, caller: u8, span: Duration) -> Vec<u64> {
    let end = Instant::now() + span;
    let mut latencies = Vec::new();
    let mut request = AnnounceRequest {
        service: "service-1".to_owned(),
        target: TargetKey::new(SocketAddrV4::new([198, 51, 100, caller].into(), 4433)),
        incarnation: IncarnationId::random(),
        domain: FailureDomain::new("vestland", "fjord-a"),
        peer_address: SocketAddrV4::new([198, 51, 100, caller].into(), 4434),
        weight: 1,
        phase: TargetPhase::Serving,
    };
    while Instant::now() < end {
        // A different weight makes each announcement a change.
        request.weight = request.weight % 1_000 + 1;
        let start = Instant::now();
        client.announce(&request).await.expect("the group answers");
        let micros = start.elapsed().as_micros();
        latencies.push(u64::try_from(micros).unwrap_or(u64::MAX));
    }
    latencies
}

/// Measures how long a group accepts no changes when its leader is killed or
/// stopped.
#[tokio::test(flavor = "multi_thread")]
async fn measure_outage_of_a_leader_change() {
    const LEADERS: u64 = if cfg!(debug_assertions) { 2 } else { 20 };
    for (name, planned) in [("killed", false), ("stopped", true)] {
        let mut group = ControlGroup::start(3);
        let mut outages = Histogram::<u64>::new_with_max(HISTOGRAM_MAX, 3).expect("a valid range");
        apply_until_accepted(&group.client_for_all(), 1).await;
        for version in 2..2 + LEADERS {
            let leader = group.leader().await;
            let client = group.client_for_all();
            let start = Instant::now();
            if planned {
                group.signal(leader, "TERM");
            } else {
                group.kill(leader);
            }
            apply_until_accepted(&client, version).await;
            let millis = start.elapsed().as_millis();
            outages.saturating_record(u64::try_from(millis).unwrap_or(u64::MAX));
            group.kill(leader);
            group.restart(leader);
            while group.status_at(leader).await.is_err() {}
        }
        println!(
            "{LEADERS} {name} leaders, to the next accepted manifest: p50 {} ms, p90 {} ms, max {} ms",
            outages.value_at_quantile(0.5),
            outages.value_at_quantile(0.9),
            outages.max(),
        );
    }
}
