use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    time::timeout,
};

use super::{
    LinkError,
    frame_codec::{FIRST_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES},
    session_key::{FrameWay, PROOF_BYTES, SessionKey},
};
use crate::clock::SpanMillis;

/// The time after which a connection without a sign of life is closed.
pub(super) const SILENCE_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// Length, epoch and proof.
pub(super) const HEADER_BYTES: usize = 4 + 1 + PROOF_BYTES;
/// The bytes that are read at once.
const READ_BYTES: usize = 64 << 10;

/// Waits for `action`, at most until the connection counts as silent.
pub(super) async fn within_silence<T>(
    action: impl Future<Output = std::io::Result<T>>,
) -> Result<T, LinkError> {
    match timeout(SILENCE_MILLIS.duration(), action).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(LinkError::Silent),
    }
}

/// Writes the frames of one way of a connection.
#[derive(Debug)]
pub(super) struct FrameWriter {
    half: OwnedWriteHalf,
    key: SessionKey,
    way: FrameWay,
    sequence: u64,
}

impl FrameWriter {
    /// Creates a writer whose next frame is the first.
    pub(super) fn new(half: OwnedWriteHalf, key: SessionKey, way: FrameWay) -> Self {
        Self {
            half,
            key,
            way,
            sequence: 0,
        }
    }

    /// Writes one frame.
    pub(super) async fn write(&mut self, payload: &[u8]) -> Result<(), LinkError> {
        let (epoch_bits, proof) = self.key.prove(self.way, self.sequence, payload);
        self.sequence += 1;
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::TooLong {
            length: payload.len(),
            allowed: MAX_PAYLOAD_BYTES,
        })?;
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.push(epoch_bits);
        frame.extend_from_slice(&proof);
        frame.extend_from_slice(payload);
        within_silence(self.half.write_all(&frame)).await
    }
}

/// Reads the frames of one way of a connection.
#[derive(Debug)]
pub(super) struct FrameReader {
    half: OwnedReadHalf,
    key: SessionKey,
    way: FrameWay,
    sequence: u64,
}

impl FrameReader {
    /// Creates a reader whose next frame is the first.
    pub(super) fn new(half: OwnedReadHalf, key: SessionKey, way: FrameWay) -> Self {
        Self {
            half,
            key,
            way,
            sequence: 0,
        }
    }

    /// Reads one frame and verifies its proof.
    pub(super) async fn read(&mut self) -> Result<Vec<u8>, LinkError> {
        let mut header = [0; HEADER_BYTES];
        within_silence(self.half.read_exact(&mut header)).await?;
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let allowed = match self.sequence {
            0 => FIRST_PAYLOAD_BYTES,
            _ => MAX_PAYLOAD_BYTES,
        };
        if length > allowed {
            return Err(LinkError::TooLong { length, allowed });
        }
        let payload = self.read_payload(length).await?;
        let proof = (header[4], &header[5..]);
        self.key.verify(self.way, self.sequence, &payload, proof)?;
        self.sequence += 1;
        Ok(payload)
    }

    /// Reads the payload; memory grows only with what has arrived.
    async fn read_payload(&mut self, length: usize) -> Result<Vec<u8>, LinkError> {
        let mut payload = Vec::new();
        while payload.len() < length {
            let start = payload.len();
            payload.resize(length.min(start + READ_BYTES), 0);
            within_silence(self.half.read_exact(&mut payload[start..])).await?;
        }
        Ok(payload)
    }
}
