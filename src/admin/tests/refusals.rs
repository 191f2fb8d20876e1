//! Calls without the right proof are refused before anything is read.

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
    admin::{AdminClient, AdminError, AdminServer, AdminSource},
    secret::SecretStore,
};

/// Starts a server that counts how often its state was asked for.
async fn start_counting(secret: &SecretStore) -> (AdminServer, SocketAddrV4, Arc<AtomicU32>) {
    let count = Arc::new(AtomicU32::new(0));
    let counted = Arc::clone(&count);
    let source = AdminSource::new(move || {
        counted.fetch_add(1, Ordering::Relaxed);
        async { SampleState { packets: 0 } }
    });
    let (server, address) = start(secret, source).await;
    (server, address, count)
}

#[tokio::test]
async fn a_call_without_proof_reaches_nothing() {
    let (_server, address, count) = start_counting(&sample_secret()).await;
    let client = HttpClientBuilder::default()
        .build(format!("http://{address}"))
        .expect("a client");
    let answer: Result<serde_json::Value, _> = client.request("dump", rpc_params![]).await;
    assert!(answer.is_err());
    assert_eq!(count.load(Ordering::Relaxed), 0);
}

#[tokio::test]
async fn a_call_proven_by_another_secret_reaches_nothing() {
    let (_server, address, count) = start_counting(&sample_secret()).await;
    let client = AdminClient::new(address, sample_secret()).expect("a client");
    let error = client.dump().await.expect_err("another secret");
    assert!(matches!(error, AdminError::Unanswered { .. }));
    assert_eq!(count.load(Ordering::Relaxed), 0);
}
