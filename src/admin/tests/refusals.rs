//! Unauthenticated calls are refused before they reach the admin handlers.

use std::{
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use jsonrpsee::{core::client::ClientT, http_client::HttpClientBuilder, rpc_params};

use super::{SampleState, sample_secret, start};
use crate::{
    admin::{AdminClient, AdminError, AdminHandlers, AdminServer},
    secret::SecretStore,
};

/// Starts a server and returns a counter of the dumps that it served.
async fn start_counting(secret: &SecretStore) -> (AdminServer, SocketAddrV4, Arc<AtomicU32>) {
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    let handlers = AdminHandlers::new(move || {
        counted.fetch_add(1, Ordering::Relaxed);
        async { SampleState { packets: 0 } }
    });
    let (server, address) = start(secret, handlers).await;
    (server, address, count)
}

#[tokio::test]
async fn an_unauthenticated_call_never_reaches_the_source() {
    let (_server, address, count) = start_counting(&sample_secret()).await;
    let client = HttpClientBuilder::default()
        .build(format!("http://{address}"))
        .expect("a client");
    let response: Result<serde_json::Value, _> = client.request("dump", rpc_params![]).await;
    assert!(response.is_err());
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_call_signed_with_another_secret_never_reaches_the_source() {
    let (_server, address, count) = start_counting(&sample_secret()).await;
    let client = AdminClient::new(address, sample_secret()).expect("a client");
    let error = client.dump().await.expect_err("another secret");
    assert!(matches!(error, AdminError::Unanswered { .. }));
    assert_eq!(count.load(Ordering::Relaxed), 0);
}
