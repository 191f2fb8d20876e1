use jsonrpsee::types::ErrorObjectOwned;
use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The JSON-RPC error code of every refusal.
const REFUSAL_CODE: i32 = -32_001;

/// Why a process refused an admin call; sent as the data of the JSON-RPC error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum AdminRefusal {
    /// The process is not an agent.
    #[error("this process has nothing to drain; only agents do")]
    NothingToDrain,
    /// The process is stopping.
    #[error("the process is stopping")]
    Stopping,
    /// The state could not be serialized as JSON.
    #[error("the state could not be written as JSON")]
    Unwritable,
}

impl From<AdminRefusal> for ErrorObjectOwned {
    fn from(refusal: AdminRefusal) -> Self {
        Self::owned(REFUSAL_CODE, refusal.to_string(), Some(refusal))
    }
}
