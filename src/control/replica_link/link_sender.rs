use std::{io, net::SocketAddrV4};

use metrics::counter;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::mpsc,
    time::{Instant, sleep, timeout, timeout_at},
};

use super::{
    LinkError,
    frame_codec::FrameContent,
    frame_stream::{FrameReader, FrameWriter, SILENCE_TIMEOUT_MILLIS, with_silence_timeout},
    session_key::{FrameDirection, NONCE_BYTES, SessionKey},
};
use crate::{
    clock::SpanMillis,
    control::{
        ControlEvent,
        replica::{PeerMessage, ReplicaId},
    },
    event::log_event,
    secret::SecretStore,
};

/// Most messages that are queued for a peer; further ones are dropped.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// Interval between keep-alives.
const KEEP_ALIVE_MILLIS: SpanMillis = SpanMillis::new(500);
/// Shortest pause before a reconnect; it doubles with each failure.
const MIN_BACKOFF_MILLIS: SpanMillis = SpanMillis::new(50);
/// A connection that lasted shorter is not made again without a pause.
const MIN_CONNECTION_MILLIS: SpanMillis = SpanMillis::new(1_000);
/// How long a connect may take. It is below a second because a VM without power
/// does not answer, and the kernel sends the SYN again only after a second.
const CONNECT_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(250);
/// Longest pause before a reconnect.
const MAX_BACKOFF_MILLIS: SpanMillis = SpanMillis::new(200);

/// Sends messages to one peer and reconnects when the connection fails.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    queue: mpsc::Sender<PeerMessage>,
}

impl LinkSender {
    /// Starts a task that connects; must be called within the runtime.
    ///
    /// The task ends when all clones of the sender are dropped.
    ///
    /// `refusals` gets the replica each time that a connection to it is refused.
    pub(crate) fn start(
        replica: ReplicaId,
        address: SocketAddrV4,
        secret: SecretStore,
        refusals: mpsc::Sender<ReplicaId>,
    ) -> Self {
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let task = SenderTask {
            replica,
            address,
            secret,
            messages,
            refusals,
        };
        tokio::spawn(task.run());
        Self { queue }
    }

    /// Queues a message. It is dropped if the queue is full or the peer can't be
    /// reached.
    pub(crate) fn send(&self, message: PeerMessage) {
        if self.queue.try_send(message).is_err() {
            counter!("cyclamen_control_link_dropped_total").increment(1);
        }
    }
}

struct SenderTask {
    replica: ReplicaId,
    address: SocketAddrV4,
    secret: SecretStore,
    messages: mpsc::Receiver<PeerMessage>,
    refusals: mpsc::Sender<ReplicaId>,
}

impl SenderTask {
    async fn run(mut self) {
        let mut backoff = MIN_BACKOFF_MILLIS;
        let mut failure_logged = false;
        while !self.messages.is_closed() || !self.messages.is_empty() {
            match self.connect().await {
                Ok((writer, reader)) => {
                    let connected_at = Instant::now();
                    backoff = MIN_BACKOFF_MILLIS;
                    failure_logged = false;
                    log_event!(info, ControlEvent::LinkUp, replica = %self.replica);
                    let Err(error) = self.send_messages(writer, reader).await else {
                        return;
                    };
                    log_event!(warn, ControlEvent::LinkDown, replica = %self.replica, %error);
                    self.drop_queued_messages();
                    if connected_at.elapsed() >= MIN_CONNECTION_MILLIS.duration() {
                        // Whether the peer's process is gone shows at once.
                        continue;
                    }
                }
                Err(error) => {
                    self.report_refusal(&error);
                    if !failure_logged {
                        failure_logged = true;
                        log_event!(warn, ControlEvent::LinkDown, replica = %self.replica, %error);
                    }
                }
            }
            sleep(backoff.duration()).await;
            backoff = backoff.saturating_mul(2).min(MAX_BACKOFF_MILLIS);
            self.drop_queued_messages();
        }
    }

    /// Drops the messages queued for a failed connection, which are out of date.
    fn drop_queued_messages(&mut self) {
        while self.messages.try_recv().is_ok() {}
    }

    /// Tells the replica if the peer refused the connection.
    fn report_refusal(&self, error: &LinkError) {
        if let LinkError::ConnectionFailed(cause) = error
            && cause.kind() == io::ErrorKind::ConnectionRefused
        {
            // If the queue is full, the next refusal is reported instead.
            let _ = self.refusals.try_send(self.replica);
        }
    }

    async fn connect(&self) -> Result<(FrameWriter, FrameReader), LinkError> {
        let connect = TcpStream::connect(self.address);
        let connected = timeout(CONNECT_TIMEOUT_MILLIS.duration(), connect).await;
        let mut stream = connected.map_err(|_| LinkError::TimedOut)??;
        stream.set_nodelay(true)?;
        let own_nonce: [u8; NONCE_BYTES] = rand::random();
        with_silence_timeout(stream.write_all(&own_nonce)).await?;
        let mut peer_nonce = [0; NONCE_BYTES];
        with_silence_timeout(stream.read_exact(&mut peer_nonce)).await?;
        let key = SessionKey::new(self.secret.clone(), own_nonce, peer_nonce);
        let (read_half, write_half) = stream.into_split();
        let mut writer = FrameWriter::new(write_half, key.clone(), FrameDirection::FromDialler);
        let mut reader = FrameReader::new(read_half, key, FrameDirection::FromAcceptor);
        writer.write(&FrameContent::KeepAlive.encode()?).await?;
        reader.read().await?;
        Ok((writer, reader))
    }

    /// Sends messages until the connection fails or all senders are dropped.
    async fn send_messages(
        &mut self,
        mut writer: FrameWriter,
        mut reader: FrameReader,
    ) -> Result<(), LinkError> {
        // Ends when no frame arrives within `SILENCE_TIMEOUT_MILLIS`.
        let read_until_failure = async move {
            loop {
                if let Err(error) = reader.read().await {
                    return error;
                }
            }
        };
        tokio::select! {
            error = read_until_failure => Err(error),
            result = self.send_until_closed(&mut writer) => result,
        }
    }

    async fn send_until_closed(&mut self, writer: &mut FrameWriter) -> Result<(), LinkError> {
        let mut keep_alive_at = Instant::now() + KEEP_ALIVE_MILLIS.duration();
        loop {
            if Instant::now() >= keep_alive_at {
                keep_alive_at = Instant::now() + KEEP_ALIVE_MILLIS.duration();
                writer.write(&FrameContent::KeepAlive.encode()?).await?;
            }
            match timeout_at(keep_alive_at, self.messages.recv()).await {
                Ok(Some(message)) => {
                    let content = FrameContent::Message(Box::new(message));
                    writer.write(&content.encode()?).await?;
                }
                Ok(None) => return Ok(()),
                Err(_) => {}
            }
        }
    }
}

const _: () = assert!(KEEP_ALIVE_MILLIS.millis() * 2 < SILENCE_TIMEOUT_MILLIS.millis());
