//! Tests of the admin address, over loopback.

mod calls;
mod metrics_page;
mod refusals;

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use serde::Serialize;

use super::{AdminHandlers, AdminServer};
use crate::secret::{DeploymentSecret, SecretStore};

/// Lets the operating system choose the port.
const ANY_PORT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);

#[derive(Debug, Clone, Serialize)]
struct SampleState {
    packets: u64,
}

fn sample_handlers() -> AdminHandlers {
    AdminHandlers::new(|| async { SampleState { packets: 7 } })
}

fn sample_secret() -> SecretStore {
    SecretStore::new(&DeploymentSecret::random(1)).expect("a fresh secret")
}

async fn start(secret: &SecretStore, handlers: AdminHandlers) -> (AdminServer, SocketAddrV4) {
    let server = AdminServer::start(ANY_PORT, secret.clone(), handlers)
        .await
        .expect("a free port");
    let SocketAddr::V4(address) = server.address() else {
        panic!("the server has no IPv4 address");
    };
    (server, address)
}
