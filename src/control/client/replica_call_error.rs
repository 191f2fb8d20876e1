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

/// Why a call to one replica failed.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic)]
pub enum ReplicaCallError {
    /// The replica refused the call.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Refused(#[from] CallRefusal),
    /// The connection could not be established; nothing was sent.
    #[error("the connection could not be established")]
    NoConnection,
    /// The replica rejected the proof of the call, which was not executed.
    #[error(
        "the replica rejected the proof of the call; compare the secrets and clocks of both hosts"
    )]
    ProofRefused,
    /// The call may have been sent, but no complete reply arrived in time.
    #[error("timed out without a reply")]
    NoAnswer,
    /// The reply does not prove that the replica holds the deployment secret.
    #[error("the proof of the reply is invalid: {0}")]
    ReplyProofInvalid(ProofError),
    /// The call could not be encoded, or the reply is none that the call allows.
    #[error("JSON-RPC protocol error")]
    Protocol,
}

impl ReplicaCallError {
    /// Returns whether the call was certainly not executed.
    #[must_use]
    pub const fn is_not_executed(&self) -> bool {
        match self {
            Self::Refused(refusal) => !matches!(refusal, CallRefusal::OutcomeUnknown),
            Self::NoConnection | Self::ProofRefused => true,
            Self::NoAnswer | Self::ReplyProofInvalid(_) | Self::Protocol => false,
        }
    }

    /// Classifies an error of the JSON-RPC client.
    pub(super) fn from_rpc_error(error: &RpcError) -> Self {
        match error {
            RpcError::Call(object) if object.code() == REFUSAL_CODE => object
                .data()
                .and_then(|data| serde_json::from_str(data.get()).ok())
                .map_or(Self::Protocol, Self::Refused),
            RpcError::Transport(error) => error
                .downcast_ref::<TransportError>()
                .map_or(Self::NoAnswer, from_transport_error),
            RpcError::RequestTimeout => Self::NoAnswer,
            _ => Self::Protocol,
        }
    }
}

fn from_transport_error(error: &TransportError) -> ReplicaCallError {
    match error {
        TransportError::Rejected {
            status_code: 401 | 413,
        } => ReplicaCallError::ProofRefused,
        TransportError::Rejected { status_code: 429 } => {
            ReplicaCallError::Refused(CallRefusal::Overloaded {
                retry_after_millis: 0,
            })
        }
        TransportError::Http(HttpError::Stream(cause)) => {
            if let Some(proof) = cause.downcast_ref::<ProofError>() {
                return ReplicaCallError::ReplyProofInvalid(*proof);
            }
            let cause = cause.downcast_ref::<hyper_util::client::legacy::Error>();
            if cause.is_some_and(hyper_util::client::legacy::Error::is_connect) {
                return ReplicaCallError::NoConnection;
            }
            ReplicaCallError::NoAnswer
        }
        _ => ReplicaCallError::NoAnswer,
    }
}
