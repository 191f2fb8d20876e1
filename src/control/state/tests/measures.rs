//! Measures commands and snapshots at the size that the design is for.
//!
//! A debug build runs with fewer services and targets, as a smoke test.

use std::{net::SocketAddrV4, time::Instant};

use crate::{
    control::{
        server::tests::fixture::{announcement, manifest, service},
        state::{ControlCommand, ControlState},
    },
    key::{IncarnationId, TargetKey},
};

const TARGETS: u32 = if cfg!(debug_assertions) {
    2_000
} else {
    100_000
};
const SERVICES: u32 = if cfg!(debug_assertions) { 240 } else { 12_000 };

#[test]
fn commands_and_snapshots() {
    let mut request = manifest(1, 0, &[]);
    let spec = |index: u32| service(&format!("service-{index:05}"), 1);
    request.manifest.services = (0..SERVICES).map(spec).collect();
    let mut state = ControlState::new();
    let command = ControlCommand::Apply(request.manifest).encode();
    let command = command.expect("an encodable command");
    let start = Instant::now();
    state.apply(&command);
    println!("manifest: {} bytes, {:?}", command.len(), start.elapsed());
    let commands: Vec<Vec<u8>> = (0..TARGETS).map(announce).collect();
    let start = Instant::now();
    for command in &commands {
        assert!(state.apply(command).effective);
    }
    let (each, bytes) = (start.elapsed() / TARGETS, commands[0].len());
    println!("announcement: {bytes} bytes, {each:?}");
    let start = Instant::now();
    let snapshot = state.snapshot().expect("an encodable state");
    println!("snapshot: {} bytes, {:?}", snapshot.len(), start.elapsed());
    let start = Instant::now();
    let restored = ControlState::restore(&snapshot).expect("a valid snapshot");
    println!("restored: {:?}", start.elapsed());
    assert_eq!(restored, state);
}

fn announce(index: u32) -> Vec<u8> {
    let name = format!("service-{:05}", index % SERVICES);
    let incarnation = u64::MAX / u64::from(index + 1);
    let mut request = announcement(&name, 1, incarnation);
    request.target = TargetKey::new(SocketAddrV4::new((0x0a00_0000 + index).into(), 7_000));
    request.incarnation = IncarnationId::new(incarnation);
    let command = ControlCommand::Announce(request).encode();
    command.expect("an encodable command")
}
