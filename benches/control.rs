//! Measures a control replica over loopback and prints the results as JSON.
//!
//! `CYCLAMEN_BENCH_TARGETS` and `CYCLAMEN_BENCH_WATCHERS` set the number of
//! targets and watchers.

#[path = "control/byte_proxy.rs"]
mod byte_proxy;
#[path = "control/load.rs"]
mod load;
#[path = "control/process.rs"]
mod process;

use std::{env, time::Instant};

use byte_proxy::ByteProxy;
use cyclamenrouter::{
    clock::SpanMillis,
    control::{
        api::{FeedReply, HeartbeatRequest},
        client::ControlClient,
    },
    key::FeedRevision,
};
use load::{announcement, manifest, watch};
use process::{ControlProcess, ProcessUsage};
use serde_json::{Value, json};
use tokio::task::JoinSet;

/// The number of concurrent calls.
const CONCURRENT_CALLS: u32 = 32;
/// The number of calls over which bytes per call are measured.
const MEASURED_CALLS: u32 = 200;
/// The number of heartbeats over which time and resource usage are measured.
const TIMED_HEARTBEATS: u32 = 50_000;
/// The number of changes that a watcher has to catch up on.
const MISSED_CHANGES: u32 = 500;

fn main() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(3)
        .enable_all()
        .build()
        .expect("a runtime");
    let report = runtime.block_on(measure());
    println!("{report:#}");
}

async fn measure() -> Value {
    let targets = size_from_env("CYCLAMEN_BENCH_TARGETS", 100_000);
    let watchers = size_from_env("CYCLAMEN_BENCH_WATCHERS", 1_000);
    let process = ControlProcess::start();
    let client = ControlClient::new(vec![process.address], process.secret.clone());
    let proxy = ByteProxy::start(process.address).await;
    let proxied_client = ControlClient::new(vec![proxy.address], process.secret.clone());
    let mut report = json!({ "targets": targets, "watchers": watchers });
    report["manifest"] = measure_manifests(&process, &proxy, &proxied_client).await;
    report["registration"] = measure_registrations(&process, &client, targets).await;
    report["announce_bytes"] = measure_announce_bytes(&proxy, &proxied_client, targets).await;
    report["heartbeat"] =
        measure_heartbeats(&process, &client, &proxy, &proxied_client, targets).await;
    report["snapshot"] = measure_snapshot(&process, &proxy, &proxied_client).await;
    report["catch_up"] = measure_catch_up(&client, &proxy, &proxied_client, targets).await;
    report["idle_poll"] = measure_idle_polls(&process, &client, &proxy, &proxied_client).await;
    report["fan_out"] = measure_fan_out(&process, &client, targets, watchers).await;
    report["left_targets"] = json!(client.status().await.expect("answered").targets);
    report
}

fn size_from_env(variable: &str, default: u32) -> u32 {
    let value = env::var(variable).ok();
    value.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the CPU time and memory that the replica used per item of `count`.
fn usage_per_item(before: ProcessUsage, after: ProcessUsage, count: u32) -> Value {
    let count = u64::from(count);
    let memory = after.memory_bytes.saturating_sub(before.memory_bytes);
    json!({
        "cpu_micros": (after.cpu_micros - before.cpu_micros) / count,
        "memory_bytes": memory / count,
    })
}

async fn measure_manifests(
    process: &ControlProcess,
    proxy: &ByteProxy,
    client: &ControlClient,
) -> Value {
    let mut rows = Vec::new();
    for version in 1..=4 {
        let (before, bytes, start) = (process.usage(), proxy.bytes(), Instant::now());
        let request = manifest(version, 1_000 + version);
        client.apply(&request).await.expect("accepted");
        rows.push(json!({
            "wall_micros": elapsed_micros(start),
            "bytes": proxy.bytes() - bytes,
            "used": usage_per_item(before, process.usage(), 1),
        }));
    }
    json!({ "services": load::SERVICES, "changes": rows })
}

async fn measure_registrations(
    process: &ControlProcess,
    client: &ControlClient,
    targets: u32,
) -> Value {
    let (before, start) = (process.usage(), Instant::now());
    announce_range(client, 0..targets, targets, 1).await;
    json!({
        "wall_micros_each": elapsed_micros(start) / u64::from(targets),
        "used_each": usage_per_item(before, process.usage(), targets),
    })
}

/// Announces the targets of `range` with concurrent calls, in index order.
async fn announce_range(
    client: &ControlClient,
    range: std::ops::Range<u32>,
    targets: u32,
    weight: u16,
) {
    let next = std::sync::Arc::new(std::sync::atomic::AtomicU32::new(range.start));
    let mut workers = JoinSet::new();
    for _ in 0..CONCURRENT_CALLS {
        let (client, next, end) = (client.clone(), next.clone(), range.end);
        workers.spawn(async move {
            loop {
                let index = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                if index >= end {
                    return;
                }
                let request = announcement(index, targets, weight);
                client.announce(&request).await.expect("registered");
            }
        });
    }
    workers.join_all().await;
}

async fn measure_announce_bytes(proxy: &ByteProxy, client: &ControlClient, targets: u32) -> Value {
    let bytes = proxy.bytes();
    for index in 0..MEASURED_CALLS {
        let request = announcement(index, targets, 1);
        client.announce(&request).await.expect("registered");
    }
    json!((proxy.bytes() - bytes) / u64::from(MEASURED_CALLS))
}

async fn measure_heartbeats(
    process: &ControlProcess,
    client: &ControlClient,
    proxy: &ByteProxy,
    proxied_client: &ControlClient,
    targets: u32,
) -> Value {
    let heartbeat = move |index: u32| {
        let request = announcement(index % targets, targets, 1);
        HeartbeatRequest {
            target: request.target,
            incarnation: request.incarnation,
        }
    };
    let bytes = proxy.bytes();
    for index in 0..MEASURED_CALLS {
        proxied_client
            .heartbeat(&heartbeat(index))
            .await
            .expect("renewed");
    }
    let bytes = (proxy.bytes() - bytes) / u64::from(MEASURED_CALLS);
    let (before, start) = (process.usage(), Instant::now());
    let mut workers = JoinSet::new();
    for worker in 0..CONCURRENT_CALLS {
        let client = client.clone();
        workers.spawn(async move {
            for index in (worker..TIMED_HEARTBEATS).step_by(CONCURRENT_CALLS as usize) {
                client.heartbeat(&heartbeat(index)).await.expect("renewed");
            }
        });
    }
    workers.join_all().await;
    json!({
        "bytes": bytes,
        "wall_micros_each": elapsed_micros(start) / u64::from(TIMED_HEARTBEATS),
        "used_each": usage_per_item(before, process.usage(), TIMED_HEARTBEATS),
    })
}

async fn measure_snapshot(
    process: &ControlProcess,
    proxy: &ByteProxy,
    client: &ControlClient,
) -> Value {
    let (before, bytes, start) = (process.usage(), proxy.bytes(), Instant::now());
    let reply = client.watch(&watch(0, FeedRevision::EMPTY, 0)).await;
    assert!(matches!(reply, Ok(FeedReply::Snapshot(_))));
    json!({
        "bytes": proxy.bytes() - bytes,
        "wall_micros": elapsed_micros(start),
        "used": usage_per_item(before, process.usage(), 1),
    })
}

async fn measure_catch_up(
    client: &ControlClient,
    proxy: &ByteProxy,
    proxied_client: &ControlClient,
    targets: u32,
) -> Value {
    let start_revision = client.status().await.expect("answered").revision;
    announce_range(client, 0..MISSED_CHANGES.min(targets), targets, 2).await;
    let (bytes, start) = (proxy.bytes(), Instant::now());
    let (mut in_force, mut replies) = (start_revision, 0);
    loop {
        let reply = proxied_client.watch(&watch(1, in_force, 0)).await;
        match reply.expect("answered") {
            FeedReply::Delta(delta) => in_force = delta.revision,
            FeedReply::Snapshot(snapshot) => in_force = snapshot.revision,
            FeedReply::Unchanged { .. } => break,
        }
        replies += 1;
    }
    json!({
        "missed": in_force.count() - start_revision.count(),
        "replies": replies,
        "bytes": proxy.bytes() - bytes,
        "wall_micros": elapsed_micros(start),
    })
}

async fn measure_idle_polls(
    process: &ControlProcess,
    client: &ControlClient,
    proxy: &ByteProxy,
    proxied_client: &ControlClient,
) -> Value {
    let revision = client.status().await.expect("answered").revision;
    let bytes = proxy.bytes();
    for _ in 0..MEASURED_CALLS {
        proxied_client
            .watch(&watch(2, revision, 0))
            .await
            .expect("answered");
    }
    let bytes = (proxy.bytes() - bytes) / u64::from(MEASURED_CALLS);
    let before = process.usage();
    let polls = 20_000;
    for _ in 0..polls {
        client
            .watch(&watch(2, revision, 0))
            .await
            .expect("answered");
    }
    json!({ "bytes": bytes, "used_each": usage_per_item(before, process.usage(), polls) })
}

async fn measure_fan_out(
    process: &ControlProcess,
    client: &ControlClient,
    targets: u32,
    watchers: u32,
) -> Value {
    let revision = client.status().await.expect("answered").revision;
    let idle = process.usage();
    let mut waiting = JoinSet::new();
    for index in 0..watchers {
        let client = client.clone();
        waiting.spawn(async move {
            let reply = client.watch(&watch(1_000 + index, revision, 25_000)).await;
            (Instant::now(), matches!(reply, Ok(FeedReply::Delta(_))))
        });
    }
    wait_for_watchers(client, watchers).await;
    let (before, start) = (process.usage(), Instant::now());
    let request = announcement(0, targets, 9);
    client.announce(&request).await.expect("registered");
    let committed_micros = elapsed_micros(start);
    let mut delays = Vec::new();
    let mut notified = 0;
    for (arrival, has_delta) in waiting.join_all().await {
        delays.push(arrival.duration_since(start).as_micros());
        notified += u32::from(has_delta);
    }
    delays.sort_unstable();
    json!({
        "told": notified,
        "committed_micros": committed_micros,
        "median_micros": delays[delays.len() / 2].to_string(),
        "last_micros": delays[delays.len() - 1].to_string(),
        "waiting_each": usage_per_item(idle, before, watchers),
        "telling_each": usage_per_item(before, process.usage(), watchers),
    })
}

async fn wait_for_watchers(client: &ControlClient, watchers: u32) {
    loop {
        tokio::time::sleep(SpanMillis::new(500).duration()).await;
        let count = client.status().await.expect("answered").watcher_count;
        if count >= watchers as usize {
            return;
        }
    }
}

fn elapsed_micros(start: Instant) -> u64 {
    u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX)
}
