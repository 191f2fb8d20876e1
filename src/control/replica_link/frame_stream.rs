use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    time::timeout,
};

use super::{
    LinkError,
    frame_codec::{MAX_FIRST_PAYLOAD_BYTES, MAX_PAYLOAD_BYTES},
    session_key::{FrameDirection, SessionKey, TAG_BYTES},
};
use crate::clock::SpanMillis;

/// Time after which a connection without a frame is closed.
pub(super) const SILENCE_TIMEOUT_MILLIS: SpanMillis = SpanMillis::new(2_000);
/// Length, secret epoch and authentication tag.
pub(super) const HEADER_BYTES: usize = 4 + 1 + TAG_BYTES;
/// Most payload bytes that are allocated and read at once.
const READ_BYTES: usize = 64 << 10;

/// Waits for `action`; fails with `LinkError::TimedOut` after
/// `SILENCE_TIMEOUT_MILLIS`.
pub(super) async fn with_silence_timeout<T>(
    action: impl Future<Output = std::io::Result<T>>,
) -> Result<T, LinkError> {
    match timeout(SILENCE_TIMEOUT_MILLIS.duration(), action).await {
        Ok(result) => Ok(result?),
        Err(_) => Err(LinkError::TimedOut),
    }
}

/// Writes the frames of one direction of a connection.
#[derive(Debug)]
pub(super) struct FrameWriter {
    half: OwnedWriteHalf,
    key: SessionKey,
    direction: FrameDirection,
    sequence: u64,
}

impl FrameWriter {
    /// Creates a writer that starts with the first frame.
    pub(super) fn new(half: OwnedWriteHalf, key: SessionKey, direction: FrameDirection) -> Self {
        Self {
            half,
            key,
            direction,
            sequence: 0,
        }
    }

    pub(super) async fn write(&mut self, payload: &[u8]) -> Result<(), LinkError> {
        let (epoch_bits, tag) = self.key.sign(self.direction, self.sequence, payload);
        self.sequence += 1;
        let length = u32::try_from(payload.len()).map_err(|_| LinkError::TooLong {
            length: payload.len(),
            allowed: MAX_PAYLOAD_BYTES,
        })?;
        let mut frame = Vec::with_capacity(HEADER_BYTES + payload.len());
        frame.extend_from_slice(&length.to_be_bytes());
        frame.push(epoch_bits);
        frame.extend_from_slice(&tag);
        frame.extend_from_slice(payload);
        with_silence_timeout(self.half.write_all(&frame)).await
    }
}

/// Reads the frames of one direction of a connection.
#[derive(Debug)]
pub(super) struct FrameReader {
    half: OwnedReadHalf,
    key: SessionKey,
    direction: FrameDirection,
    sequence: u64,
}

impl FrameReader {
    /// Creates a reader that starts with the first frame.
    pub(super) fn new(half: OwnedReadHalf, key: SessionKey, direction: FrameDirection) -> Self {
        Self {
            half,
            key,
            direction,
            sequence: 0,
        }
    }

    /// Reads one frame and verifies its tag.
    pub(super) async fn read(&mut self) -> Result<Vec<u8>, LinkError> {
        let mut header = [0; HEADER_BYTES];
        with_silence_timeout(self.half.read_exact(&mut header)).await?;
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let allowed = match self.sequence {
            0 => MAX_FIRST_PAYLOAD_BYTES,
            _ => MAX_PAYLOAD_BYTES,
        };
        if length > allowed {
            return Err(LinkError::TooLong { length, allowed });
        }
        let payload = self.read_payload(length).await?;
        let tag = (header[4], &header[5..]);
        self.key
            .verify(self.direction, self.sequence, &payload, tag)?;
        self.sequence += 1;
        Ok(payload)
    }

    /// Reads the payload. The buffer grows only as bytes arrive, because the length is
    /// not authenticated yet.
    async fn read_payload(&mut self, length: usize) -> Result<Vec<u8>, LinkError> {
        let mut payload = Vec::new();
        while payload.len() < length {
            let start = payload.len();
            payload.resize(length.min(start + READ_BYTES), 0);
            with_silence_timeout(self.half.read_exact(&mut payload[start..])).await?;
        }
        Ok(payload)
    }
}
