//! What control has accepted outlasts killed processes, lost disks and frozen
//! leaders.

mod control_group;

use std::time::Duration;

use control_group::{ControlGroup, PATIENCE, accept, manifest, offer, wait_until};
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::time::{Instant, sleep};

/// The event of a repair that is done.
const REPAIR_DONE: u16 = 1126;
/// The event of a majority that does not answer.
const QUORUM_LOST: u16 = 1123;
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
    wait_until("the leader says that its majority is gone", || {
        group.events(leader, QUORUM_LOST) > 0
    })
    .await;
    assert!(group.status_at(leader).await.is_err());
    assert!(offer(&group.client(&[leader]), 2).await.is_err());
    for other in &others {
        group.signal(*other, "CONT");
    }
    let status = group.status().await;
    // Nobody was told that version 2 is accepted; it was refused at once.
    assert_eq!(status.manifest_version, 1);
    group.kill(leader);
    accept(&group.client_of_all(), 2).await;
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
