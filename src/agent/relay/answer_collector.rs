use bytes::Bytes;
use http::{HeaderMap, StatusCode};

use crate::agent::ticket::{KeptHeader, KeptOutcome, RunOutcome};

/// The longest body that is stored for resent requests, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Buffers the answer of a run under a ticket, to replay it to resends.
#[derive(Debug)]
pub(super) struct AnswerCollector {
    status: u16,
    headers: Vec<KeptHeader>,
    body: Option<Vec<u8>>,
}

impl AnswerCollector {
    /// Starts with the head of the answer.
    pub(super) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        let headers = headers
            .iter()
            .map(|(name, value)| KeptHeader {
                name: name.as_str().to_owned(),
                value: value.as_bytes().to_vec(),
            })
            .collect();
        Self {
            status: status.as_u16(),
            headers,
            body: Some(Vec::new()),
        }
    }

    /// Appends a part of the body; discards the body once it exceeds the limit.
    pub(super) fn push(&mut self, part: &Bytes) {
        let Some(body) = &mut self.body else {
            return;
        };
        if body.len() + part.len() > MAX_KEPT_BYTES {
            self.body = None;
        } else {
            body.extend_from_slice(part);
        }
    }

    /// Returns the outcome of a run whose answer is complete.
    pub(super) fn finish(self) -> RunOutcome {
        match self.body {
            Some(body) => RunOutcome::Finished(KeptOutcome {
                status: self.status,
                headers: self.headers,
                body,
            }),
            None => RunOutcome::FinishedUnkept,
        }
    }
}
