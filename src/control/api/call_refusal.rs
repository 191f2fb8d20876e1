use std::net::SocketAddrV4;

use miette::Diagnostic;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::manifest::ManifestDigest;

/// Why control refused a call; it travels as the data of a JSON-RPC error.
#[derive(Debug, Clone, PartialEq, Eq, Error, Diagnostic, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "refusal")]
pub enum CallRefusal {
    /// Another replica leads; ask there.
    #[error("this replica does not lead")]
    NotLeader {
        /// The leader's call address, if known.
        leader: Option<SocketAddrV4>,
    },
    /// The replica can't confirm that it is current.
    #[error("no majority of the control group answers; nothing was accepted")]
    NoQuorum,
    /// The change may or may not be committed; ask again with the same content.
    #[error("the outcome is unknown; send the same call again")]
    OutcomeUnknown,
    /// The manifest replaces a version that is not in force.
    #[error(
        "version {offered} replaces version {replaces}, but version {in_force} ({digest}) is in force"
    )]
    VersionConflict {
        /// The version that was offered.
        offered: u64,
        /// The version that the offer replaces.
        replaces: u64,
        /// The version in force.
        in_force: u64,
        /// The digest of the content in force.
        digest: ManifestDigest,
    },
    /// The manifest breaks a rule.
    #[error("the manifest is invalid: {}", faults.join("; "))]
    InvalidManifest {
        /// Each broken rule, with its place in the document.
        faults: Vec<String>,
    },
    /// No service of that name is in force.
    #[error("no service named {name} is in force")]
    UnknownService {
        /// The name that was asked for.
        name: String,
    },
    /// Another, newer run holds the registration.
    #[error("another run of the agent holds this registration")]
    StaleIncarnation,
    /// The replica has too much work; come back later.
    #[error("overloaded; come back in {retry_after_millis} ms")]
    Overloaded {
        /// When to come back.
        retry_after_millis: u64,
    },
}
