use jsonrpsee::{
    core::{client::Error as RpcError, http_helpers::HttpError},
    http_client::transport::Error as TransportError,
};
use miette::Diagnostic;
use thiserror::Error;

use crate::{
    control::api::{CallRefusal, REFUSAL_CODE},
    proof::ProofError,
};

/// Why one replica gave no answer to a call.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum LinkFault {
    /// The replica refused the call.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] CallRefusal),
    /// No connection could be made; nothing was sent.
    #[error("no connection")]
    NoConnection,
    /// The replica did not accept the proof of the call; nothing was executed.
    #[error("the proof was refused; compare the secrets and the clocks")]
    ProofRefused,
    /// The call may have been sent, and no whole answer came in time.
    #[error("no answer in time")]
    NoAnswer,
    /// The answer did not prove that the replica holds the secret.
    #[error("the answer is not proven: {0}")]
    ReplyUnproven(ProofError),
    /// The answer is none that this client understands.
    #[error("the answer is not understood")]
    NotUnderstood,
}

impl LinkFault {
    /// Returns whether the call can't have been executed.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        match self {
            Self::Refused(refusal) => !matches!(refusal, CallRefusal::OutcomeUnknown),
            Self::NoConnection | Self::ProofRefused => true,
            Self::NoAnswer | Self::ReplyUnproven(_) | Self::NotUnderstood => false,
        }
    }

    /// Sorts an error of the JSON-RPC client.
    pub(super) fn sort(error: &RpcError) -> Self {
        match error {
            RpcError::Call(object) if object.code() == REFUSAL_CODE => object
                .data()
                .and_then(|data| serde_json::from_str(data.get()).ok())
                .map_or(Self::NotUnderstood, Self::Refused),
            RpcError::Transport(error) => error
                .downcast_ref::<TransportError>()
                .map_or(Self::NoAnswer, sort_transport),
            RpcError::RequestTimeout => Self::NoAnswer,
            _ => Self::NotUnderstood,
        }
    }
}

fn sort_transport(error: &TransportError) -> LinkFault {
    match error {
        TransportError::Rejected {
            status_code: 401 | 413,
        } => LinkFault::ProofRefused,
        TransportError::Rejected { status_code: 429 } => {
            LinkFault::Refused(CallRefusal::Overloaded {
                retry_after_millis: 0,
            })
        }
        TransportError::Http(HttpError::Stream(cause)) => {
            if let Some(proof) = cause.downcast_ref::<ProofError>() {
                return LinkFault::ReplyUnproven(*proof);
            }
            let cause = cause.downcast_ref::<hyper_util::client::legacy::Error>();
            if cause.is_some_and(hyper_util::client::legacy::Error::is_connect) {
                return LinkFault::NoConnection;
            }
            LinkFault::NoAnswer
        }
        _ => LinkFault::NoAnswer,
    }
}
