//! What control has accepted outlasts killed processes, lost disks and frozen
//! leaders.

mod control_group;

use std::{net::SocketAddrV4, time::Duration};

use control_group::{ControlGroup, PATIENCE, accept, manifest, offer, wait_until};
use cyclamenrouter::{
    control::{api::AnnounceRequest, client::ControlClient},
    key::{DomainName, IncarnationId, TargetKey},
    route::TargetPhase,
};
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep, timeout};

/// The event of a leader that sees a newer term.
const LEADER_DEPOSED: u16 = 1122;
/// The event of a repair that is done.
const REPAIR_DONE: u16 = 1126;
/// The event of a majority that does not answer.
const QUORUM_LOST: u16 = 1123;
/// The largest time that a measurement records, in its unit.
const MOST_RECORDED: u64 = 100_000_000;
/// How long a call that must not succeed is waited for.
const SHORT_PATIENCE: Duration = Duration::from_secs(3);
/// How often a process is killed amid accepted changes.
const KILLS: usize = 8;

/// Hands over versions after `last` until the process is killed; returns the
/// last one that was acknowledged.
async fn change_until_killed(group: &mut ControlGroup, last: u64, life: Duration) -> u64 {
    let client = group.client(&[0]);
    let mut acknowledged = last;
    let changes = async {
        loop {
            let offered = offer(&client, acknowledged + 1).await;
            offered.expect("the process runs");
            acknowledged += 1;
        }
    };
    tokio::select! {
        () = changes => {}
        () = sleep(life) => {}
    }
    // A change may be under way in the process now.
    group.kill(0);
    acknowledged
}

#[tokio::test]
async fn every_acknowledged_change_is_there_after_a_kill() {
    let mut group = ControlGroup::start(1);
    let mut generator = StdRng::seed_from_u64(40);
    let mut last = 0;
    let mut changes = 0;
    for _ in 0..KILLS {
        group.status().await;
        let life = Duration::from_millis(generator.random_range(20..400));
        let acknowledged = change_until_killed(&mut group, last, life).await;
        group.restart(0);
        let status = group.status().await;
        let found = status.manifest_version;
        // The change under way at the kill may be in force or not.
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
    assert!(changes > 0, "nothing was acknowledged between the kills");
}

#[tokio::test]
async fn a_killed_leader_takes_nothing_accepted_along() {
    let mut group = ControlGroup::start(3);
    let mut version = 0;
    for _ in 0..3 {
        for _ in 0..5 {
            version += 1;
            accept(&group.client_of_all(), version).await;
        }
        let leader = group.leader().await;
        group.kill(leader);
        let status = group.status().await;
        assert_eq!(status.manifest_version, version);
        version += 1;
        accept(&group.client_of_all(), version).await;
        group.restart(leader);
    }
    for index in 0..3 {
        let deadline = Instant::now() + PATIENCE;
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
async fn a_leader_that_is_stopped_hands_over_first() {
    let mut group = ControlGroup::start(3);
    accept(&group.client_of_all(), 1).await;
    let old = group.leader().await;
    let before = group.events(old, LEADER_DEPOSED);
    group.stop(old);
    // Another one was elected while the old leader still ran.
    assert_eq!(group.events(old, LEADER_DEPOSED), before + 1);
    accept(&group.client_of_all(), 2).await;
}

#[tokio::test]
async fn a_frozen_leader_answers_nothing_stale_when_it_wakes() {
    let group = ControlGroup::start(3);
    accept(&group.client_of_all(), 1).await;
    let frozen = group.leader().await;
    group.signal(frozen, "STOP");
    let others: Vec<usize> = (0..3).filter(|index| *index != frozen).collect();
    accept(&group.client(&others), 2).await;
    // This call waits in the frozen process and is answered when it wakes.
    let waiting = group.status_at(frozen);
    let wake = async {
        sleep(Duration::from_millis(300)).await;
        group.signal(frozen, "CONT");
    };
    let (waited, ()) = tokio::join!(waiting, wake);
    if let Ok(status) = waited {
        assert_eq!(status.manifest_version, 2, "the frozen leader is stale");
    }
    let deadline = Instant::now() + PATIENCE;
    loop {
        match group.status_at(frozen).await {
            Ok(status) => {
                assert_eq!(status.manifest_version, 2, "the woken leader is stale");
                break;
            }
            Err(error) => assert!(Instant::now() < deadline, "it never follows: {error}"),
        }
    }
}

#[tokio::test]
async fn a_replica_without_a_majority_answers_nothing() {
    let mut group = ControlGroup::start(3);
    accept(&group.client_of_all(), 1).await;
    let leader = group.leader().await;
    let others: Vec<usize> = (0..3).filter(|index| *index != leader).collect();
    for other in &others {
        group.signal(*other, "STOP");
    }
    // The leader does not know yet, and still neither reads nor accepts alone.
    let client = group.client(&[leader]);
    let (read, early) = tokio::join!(
        group.status_at(leader),
        timeout(SHORT_PATIENCE, offer(&client, 2))
    );
    assert!(read.is_err(), "it was read alone");
    assert!(!matches!(early, Ok(Ok(()))), "it was accepted alone");
    wait_until("the leader says that its majority is gone", || {
        group.events(leader, QUORUM_LOST) > 0
    })
    .await;
    assert!(group.status_at(leader).await.is_err());
    let late = timeout(SHORT_PATIENCE, offer(&group.client(&[leader]), 2)).await;
    assert!(
        !matches!(late, Ok(Ok(()))),
        "it was accepted without a majority"
    );
    for other in &others {
        group.signal(*other, "CONT");
    }
    let found = group.status().await.manifest_version;
    // The outcome of version 2 was unknown; once it is known, it stays.
    assert!(found == 1 || found == 2, "{found} is in force");
    group.kill(leader);
    for version in found + 1..4 {
        accept(&group.client_of_all(), version).await;
    }
    assert_eq!(group.status().await.manifest_version, 3);
}

#[tokio::test]
async fn a_second_disk_is_lost_right_after_a_repair_is_done() {
    let mut group = ControlGroup::start(3);
    accept(&group.client_of_all(), 1).await;
    let leader = group.leader().await;
    let first = (leader + 1) % 3;
    group.lose_disk(first);
    for version in 2..6 {
        accept(&group.client_of_all(), version).await;
    }
    group.restart(first);
    let repairs = |group: &ControlGroup| -> usize {
        (0..3).map(|index| group.events(index, REPAIR_DONE)).sum()
    };
    wait_until("the repair is done", || repairs(&group) == 1).await;
    let second = group.leader().await;
    group.lose_disk(second);
    let status = group.status().await;
    assert_eq!(status.manifest_version, 5);
    accept(&group.client_of_all(), 6).await;
    group.restart(second);
    wait_until("the second repair is done", || repairs(&group) == 2).await;
    assert_eq!(group.status().await.manifest_version, 6);
}

/// Measures the built program; run with `--release -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, not a check"]
async fn measure_accepted_changes() {
    const SPAN: Duration = Duration::from_secs(5);
    for (replicas, callers) in [(1, 1), (1, 64), (3, 1), (3, 64)] {
        let group = ControlGroup::start(replicas);
        accept(&group.client_of_all(), 1).await;
        let tasks: Vec<_> = (0..callers)
            .map(|caller| tokio::spawn(announce_for(group.client_of_all(), caller, SPAN)))
            .collect();
        let mut latencies =
            Histogram::<u64>::new_with_max(MOST_RECORDED, 3).expect("a valid range");
        for task in tasks {
            for micros in task.await.expect("it calls to the end") {
                latencies.saturating_record(micros);
            }
        }
        println!(
            "{replicas} replicas, {callers} callers: {} changes/s, p50 {} us, p99 {} us, max {} us",
            latencies.len() / SPAN.as_secs(),
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.99),
            latencies.max(),
        );
    }
}

/// Announces one target after the other; returns the time of each call.
async fn announce_for(client: ControlClient, caller: u8, span: Duration) -> Vec<u64> {
    let end = Instant::now() + span;
    let mut latencies = Vec::new();
    let mut request = AnnounceRequest {
        service: "service-1".to_owned(),
        target: TargetKey::new(SocketAddrV4::new([198, 51, 100, caller].into(), 4433)),
        incarnation: IncarnationId::random(),
        domain: DomainName::new("vestland", "fjord-a"),
        peer_address: SocketAddrV4::new([198, 51, 100, caller].into(), 4434),
        weight: 1,
        phase: TargetPhase::Serving,
    };
    while Instant::now() < end {
        // Another weight makes it a change each time.
        request.weight = request.weight % 1_000 + 1;
        let begun = Instant::now();
        client.announce(&request).await.expect("the group answers");
        let micros = begun.elapsed().as_micros();
        latencies.push(u64::try_from(micros).unwrap_or(u64::MAX));
    }
    latencies
}

/// Measures how long a group takes no change while its leader goes.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement, not a check"]
async fn measure_a_leader_that_goes() {
    const LEADERS: u64 = 20;
    for (name, planned) in [("killed", false), ("stopped", true)] {
        let mut group = ControlGroup::start(3);
        let mut spans = Histogram::<u64>::new_with_max(MOST_RECORDED, 3).expect("a valid range");
        accept(&group.client_of_all(), 1).await;
        for version in 2..2 + LEADERS {
            let leader = group.leader().await;
            let client = group.client_of_all();
            let begun = Instant::now();
            if planned {
                group.signal(leader, "TERM");
            } else {
                group.kill(leader);
            }
            accept(&client, version).await;
            let millis = begun.elapsed().as_millis();
            spans.saturating_record(u64::try_from(millis).unwrap_or(u64::MAX));
            group.kill(leader);
            group.restart(leader);
            while group.status_at(leader).await.is_err() {}
        }
        println!(
            "{LEADERS} {name} leaders, to the next accepted manifest: p50 {} ms, p90 {} ms, max {} ms",
            spans.value_at_quantile(0.5),
            spans.value_at_quantile(0.9),
            spans.max(),
        );
    }
}
