use std::net::SocketAddrV4;

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
    frame_stream::{FrameReader, FrameWriter, SILENCE_MILLIS, within_silence},
    session_key::{FrameWay, NONCE_BYTES, SessionKey},
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

/// The messages that wait for one peer; more are lost.
const MAX_QUEUED_MESSAGES: usize = 1_024;
/// The time without a message after which a sign of life is sent.
const ALIVE_MILLIS: SpanMillis = SpanMillis::new(500);
/// The pause after the first failure; it doubles with each one.
const MIN_PAUSE_MILLIS: SpanMillis = SpanMillis::new(50);
/// How long connecting may take. A VM without power does not answer, and the
/// kernel repeats its first packet only after a second.
const CONNECT_MILLIS: SpanMillis = SpanMillis::new(250);
/// The longest pause between two attempts.
const MAX_PAUSE_MILLIS: SpanMillis = SpanMillis::new(200);

/// Sends messages to one peer and keeps the connection to it.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender {
    queue: mpsc::Sender<PeerMessage>,
}

impl LinkSender {
    /// Starts to connect; it must be called within the runtime.
    ///
    /// The task ends when every sender is dropped.
    pub(crate) fn start(replica: ReplicaId, address: SocketAddrV4, secret: SecretStore) -> Self {
        let (queue, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let task = SenderTask {
            replica,
            address,
            secret,
            messages,
        };
        tokio::spawn(task.run());
        Self { queue }
    }

    /// Hands over a message; it is lost if the peer can't be reached.
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
}

impl SenderTask {
    async fn run(mut self) {
        let mut pause = MIN_PAUSE_MILLIS;
        let mut reported = false;
        while !self.messages.is_closed() || !self.messages.is_empty() {
            match self.connect().await {
                Ok((writer, reader)) => {
                    pause = MIN_PAUSE_MILLIS;
                    reported = false;
                    log_event!(info, ControlEvent::LinkUp, replica = %self.replica);
                    let Err(error) = self.send_all(writer, reader).await else {
                        return;
                    };
                    log_event!(warn, ControlEvent::LinkDown, replica = %self.replica, %error);
                }
                Err(error) if !reported => {
                    reported = true;
                    log_event!(warn, ControlEvent::LinkDown, replica = %self.replica, %error);
                }
                Err(_) => {}
            }
            sleep(pause.duration()).await;
            pause = pause.times(2).min(MAX_PAUSE_MILLIS);
            // What was meant for the old connection is out of date.
            while self.messages.try_recv().is_ok() {}
        }
    }

    async fn connect(&self) -> Result<(FrameWriter, FrameReader), LinkError> {
        let connect = TcpStream::connect(self.address);
        let connected = timeout(CONNECT_MILLIS.duration(), connect).await;
        let mut stream = connected.map_err(|_| LinkError::Silent)??;
        stream.set_nodelay(true)?;
        let own: [u8; NONCE_BYTES] = rand::random();
        within_silence(stream.write_all(&own)).await?;
        let mut theirs = [0; NONCE_BYTES];
        within_silence(stream.read_exact(&mut theirs)).await?;
        let key = SessionKey::new(self.secret.clone(), own, theirs);
        let (read_half, write_half) = stream.into_split();
        let mut writer = FrameWriter::new(write_half, key.clone(), FrameWay::Forward);
        let mut reader = FrameReader::new(read_half, key, FrameWay::Back);
        writer.write(&FrameContent::Alive.encode()?).await?;
        reader.read().await?;
        Ok((writer, reader))
    }

    /// Sends until the connection fails, or nobody can hand over messages.
    async fn send_all(
        &mut self,
        mut writer: FrameWriter,
        mut reader: FrameReader,
    ) -> Result<(), LinkError> {
        // Each answer has to follow on the last within the time of silence.
        let answers = tokio::spawn(async move {
            loop {
                if let Err(error) = reader.read().await {
                    return error;
                }
            }
        });
        let result = self.send_until_closed(&mut writer, &answers).await;
        answers.abort();
        result
    }

    async fn send_until_closed(
        &mut self,
        writer: &mut FrameWriter,
        answers: &tokio::task::JoinHandle<LinkError>,
    ) -> Result<(), LinkError> {
        let mut alive_at = Instant::now() + ALIVE_MILLIS.duration();
        loop {
            if answers.is_finished() {
                return Err(LinkError::Silent);
            }
            if Instant::now() >= alive_at {
                alive_at = Instant::now() + ALIVE_MILLIS.duration();
                writer.write(&FrameContent::Alive.encode()?).await?;
            }
            match timeout_at(alive_at, self.messages.recv()).await {
                Ok(Some(message)) => {
                    let content = FrameContent::Message(message);
                    writer.write(&content.encode()?).await?;
                }
                Ok(None) => return Ok(()),
                Err(_) => {}
            }
        }
    }
}

const _: () = assert!(ALIVE_MILLIS.millis() * 2 < SILENCE_MILLIS.millis());
