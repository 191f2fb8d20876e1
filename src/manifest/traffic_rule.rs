use serde::{Deserialize, Serialize};

use crate::clock::SpanMillis;

/// How requests with certain methods and paths are handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficRule {
    /// The rule's name, for status and logs.
    pub name: String,
    /// The methods that match; an empty list matches every method.
    #[serde(default)]
    pub methods: Vec<String>,
    /// The prefix of matching paths.
    pub path_prefix: String,
    /// The queue priority of matching requests.
    #[serde(default)]
    pub priority: RequestPriority,
    /// The deadline of a matching request that has none of its own.
    #[serde(rename = "deadline_millis", default)]
    pub deadline: Option<SpanMillis>,
    /// Whether a matching request may be executed twice; by default this depends on the method.
    #[serde(default)]
    pub idempotent: Option<bool>,
    /// Whether a matching request is a stream, which occupies no slot while open.
    #[serde(default)]
    pub stream: bool,
}

/// The priority of a request in the queue of its target.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum RequestPriority {
    /// Runs before all other requests, such as a stop command.
    Urgent,
    /// The default priority.
    #[default]
    Normal,
    /// Runs after all other requests, such as a logbook upload.
    Bulk,
}
