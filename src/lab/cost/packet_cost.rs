use std::hint::black_box;

use super::{
    CostEffort, CostResult,
    batch_timer::nanos_per_call,
    sample_routes::{service_address, snapshot_of, target_route},
};
use crate::{
    balancer::decide_datagram,
    lab::LabError,
    route::{ConnectionRoute, RouteTable},
    secret::{DeploymentSecret, KeyRing},
};

const ROLE: &str = "balancer";
/// Decisions per batch.
const ROUNDS: usize = 200_000;
/// The size of a first packet in bytes.
const FIRST_BYTES: usize = 1_200;
/// The number of different packets in rotation.
const PACKETS: usize = 1_024;

/// Measures the decision on a packet for several table sizes.
pub(super) fn measure_packets(effort: CostEffort) -> Result<Vec<CostResult>, LabError> {
    let keys = KeyRing::new(&DeploymentSecret::random(1))?;
    let mut results = Vec::new();
    for targets in [10, 1_000, 100_000] {
        let targets = effort.size(targets);
        let services = (targets / 8).max(1);
        results.push(measure_known_packets(&keys, services, targets, effort)?);
    }
    for targets in [7, 100, 1_000, 10_000] {
        let targets = effort.size(targets);
        results.push(measure_first_packets(&keys, targets, effort)?);
    }
    Ok(results)
}

fn measure_known_packets(
    keys: &KeyRing,
    services: usize,
    targets: usize,
    effort: CostEffort,
) -> Result<CostResult, LabError> {
    let mut table = RouteTable::new();
    table.apply_snapshot(snapshot_of(services, targets))?;
    let packets: Vec<_> = (0..PACKETS)
        .map(|round| {
            let index = round * 97 % targets;
            let target = target_route(index, index % services, 0);
            let route = ConnectionRoute {
                service: target.service,
                target: target.key,
                incarnation_tag: target.incarnation.tag(),
                nonce: round as u32,
            };
            let mut datagram = vec![0x40];
            datagram.extend_from_slice(&route.seal(keys));
            datagram.extend_from_slice(&[7; 30]);
            (service_address(index % services), datagram)
        })
        .collect();
    let nanos = nanos_per_call(effort.rounds(ROUNDS), |round| {
        let (address, datagram) = &packets[round % PACKETS];
        black_box(decide_datagram(&table, keys, *address, datagram));
    });
    let measure = format!("decision on a known packet, {targets} targets in the table");
    Ok(CostResult::new(ROLE, measure, nanos, "ns"))
}

fn measure_first_packets(
    keys: &KeyRing,
    targets: usize,
    effort: CostEffort,
) -> Result<CostResult, LabError> {
    let mut table = RouteTable::new();
    table.apply_snapshot(snapshot_of(1, targets))?;
    let packets: Vec<Vec<u8>> = (0..PACKETS)
        .map(|round| {
            let mut datagram = vec![0xc0, 0, 0, 0, 1, 8];
            datagram.extend_from_slice(&(round as u64).to_be_bytes());
            datagram.resize(FIRST_BYTES, 0);
            datagram
        })
        .collect();
    let address = service_address(0);
    let nanos = nanos_per_call(effort.rounds(ROUNDS), |round| {
        let datagram = &packets[round % PACKETS];
        black_box(decide_datagram(&table, keys, address, datagram));
    });
    let measure = format!("decision on a first packet, service of {targets} targets");
    Ok(CostResult::new(ROLE, measure, nanos, "ns"))
}
