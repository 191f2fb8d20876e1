use std::{net::SocketAddrV4, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, oneshot},
    time::{sleep, timeout},
};

use super::FleetError;
use crate::{clock::SpanMillis, flow::FlowKey};

/// The largest request in bytes.
const MAX_REQUEST_BYTES: u64 = 4_096;
/// How long an inspection may take.
const INSPECT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// The most concurrent inspections.
const MAX_INSPECTIONS: usize = 4;
/// The pause after a failed accept.
const ACCEPT_PAUSE_MILLIS: SpanMillis = SpanMillis::new(100);

/// What an operator asks a process for, as one line of JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InspectRequest {
    /// Its whole state.
    Dump,
    /// What it knows about a flow.
    Flow(FlowKey),
}

/// A request on its way to the process's event loop.
#[derive(Debug)]
pub(super) struct Inspection {
    pub(super) request: InspectRequest,
    /// Where the answer goes.
    pub(super) reply_to: oneshot::Sender<Value>,
}

/// Listens for requests at `address` and returns the channel that delivers them.
/// It must be called within the runtime.
pub(super) async fn start_inspections(
    address: SocketAddrV4,
) -> Result<mpsc::Receiver<Inspection>, FleetError> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|cause| FleetError::Address {
            address,
            purpose: "inspections",
            cause,
        })?;
    let (requests, inspections) = mpsc::channel(MAX_INSPECTIONS);
    tokio::spawn(async move {
        let permits = Arc::new(Semaphore::new(MAX_INSPECTIONS));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_PAUSE_MILLIS.duration()).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                continue;
            };
            let requests = requests.clone();
            tokio::spawn(async move {
                // An operator whose inspection failed asks again.
                let _ = timeout(
                    INSPECT_TIMEOUT_MILLIS.duration(),
                    serve_inspection(stream, requests),
                )
                .await;
                drop(permit);
            });
        }
    });
    Ok(inspections)
}

async fn serve_inspection(
    stream: TcpStream,
    requests: mpsc::Sender<Inspection>,
) -> std::io::Result<()> {
    let (read_half, mut write_half) = stream.into_split();
    let mut line = String::new();
    BufReader::new(read_half.take(MAX_REQUEST_BYTES))
        .read_line(&mut line)
        .await?;
    let reply = match serde_json::from_str(&line) {
        Ok(request) => forward_request(request, &requests).await,
        Err(error) => serde_json::json!({ "error": error.to_string() }),
    };
    write_half.write_all(format!("{reply}\n").as_bytes()).await
}

async fn forward_request(request: InspectRequest, requests: &mpsc::Sender<Inspection>) -> Value {
    let (reply_to, reply) = oneshot::channel();
    let sent = requests.send(Inspection { request, reply_to }).await;
    match (sent, reply.await) {
        (Ok(()), Ok(value)) => value,
        _ => serde_json::json!({ "error": "the process is stopping" }),
    }
}

/// Sends a request to the process that answers inspections at `address`.
///
/// # Errors
///
/// Fails when it does not answer within two seconds, or not with JSON.
pub async fn inspect_process(
    address: SocketAddrV4,
    request: InspectRequest,
) -> std::io::Result<Value> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        let line = serde_json::to_string(&request)?;
        stream.write_all(format!("{line}\n").as_bytes()).await?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).await?;
        Ok(serde_json::from_str(&reply)?)
    };
    timeout(INSPECT_TIMEOUT_MILLIS.duration(), exchange).await?
}
