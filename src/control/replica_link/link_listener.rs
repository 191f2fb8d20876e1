use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use metrics::counter;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore, mpsc},
    time::sleep,
};

use super::{
    LinkError,
    frame_codec::FrameContent,
    frame_stream::{FrameReader, FrameWriter, with_silence_timeout},
    session_key::{FrameDirection, NONCE_BYTES, SessionKey},
};
use crate::{
    clock::SpanMillis,
    control::{ControlEvent, replica::PeerMessage},
    event::log_event,
    secret::SecretStore,
};

/// Most connections at a time.
const MAX_CONNECTIONS: usize = 64;
/// Pause after a failed accept.
const ACCEPT_RETRY_MILLIS: SpanMillis = SpanMillis::new(100);

/// Accepts connections from other replicas.
#[derive(Debug)]
pub(crate) struct LinkListener {
    listener: TcpListener,
    address: SocketAddrV4,
}

impl LinkListener {
    /// Listens on `address`; it must be called within the runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address can't be bound.
    pub(crate) async fn bind(address: SocketAddrV4) -> Result<Self, LinkError> {
        let failed = |cause| LinkError::Listen { address, cause };
        let listener = TcpListener::bind(address).await.map_err(failed)?;
        let address = match listener.local_addr().map_err(failed)? {
            SocketAddr::V4(bound) => bound,
            SocketAddr::V6(_) => address,
        };
        Ok(Self { listener, address })
    }

    /// Returns the address, with the port that the system chose.
    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Sends every authenticated message to `inbox` until that is closed.
    pub(crate) async fn run(self, inbox: mpsc::Sender<PeerMessage>, secret: SecretStore) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        while !inbox.is_closed() {
            let Ok((stream, peer)) = self.listener.accept().await else {
                sleep(ACCEPT_RETRY_MILLIS.duration()).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
                counter!("cyclamen_control_link_refused_total").increment(1);
                continue;
            };
            let task = serve_connection(stream, peer, inbox.clone(), secret.clone(), permit);
            tokio::spawn(task);
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    inbox: mpsc::Sender<PeerMessage>,
    secret: SecretStore,
    _permit: OwnedSemaphorePermit,
) {
    match receive_messages(stream, inbox, secret).await {
        Ok(()) | Err(LinkError::ConnectionFailed(_) | LinkError::TimedOut) => {}
        Err(error) => {
            counter!("cyclamen_control_link_refused_total").increment(1);
            log_event!(warn, ControlEvent::LinkRefused, %peer, %error);
        }
    }
}

async fn receive_messages(
    mut stream: TcpStream,
    inbox: mpsc::Sender<PeerMessage>,
    secret: SecretStore,
) -> Result<(), LinkError> {
    stream.set_nodelay(true)?;
    let own_nonce: [u8; NONCE_BYTES] = rand::random();
    with_silence_timeout(stream.write_all(&own_nonce)).await?;
    let mut peer_nonce = [0; NONCE_BYTES];
    with_silence_timeout(stream.read_exact(&mut peer_nonce)).await?;
    let key = SessionKey::new(secret, peer_nonce, own_nonce);
    let (read_half, write_half) = stream.into_split();
    let mut reader = FrameReader::new(read_half, key.clone(), FrameDirection::FromDialler);
    let mut writer = FrameWriter::new(write_half, key, FrameDirection::FromAcceptor);
    loop {
        let payload = reader.read().await?;
        match FrameContent::decode(&payload)? {
            FrameContent::KeepAlive => writer.write(&FrameContent::KeepAlive.encode()?).await?,
            FrameContent::Message(message) => {
                if inbox.send(*message).await.is_err() {
                    return Ok(());
                }
            }
        }
    }
}
