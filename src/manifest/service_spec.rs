use std::net::SocketAddrV4;

use serde::{Deserialize, Serialize};

use super::TrafficRule;
use crate::clock::SpanMillis;

/// One service: its address for callers and how its traffic is handled.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// The name under which agents announce targets.
    pub name: String,
    /// The address and port that callers send to.
    pub address: SocketAddrV4,
    /// The limits per target.
    #[serde(default)]
    pub limits: ServiceLimits,
    /// The deadline of a request that has none of its own.
    #[serde(rename = "deadline_millis", default = "default_deadline")]
    pub deadline: SpanMillis,
    /// The retries allowed per hundred recent requests.
    #[serde(default = "default_retry_percent")]
    pub retry_percent: u8,
    /// The rules; the first that matches a request applies.
    #[serde(default)]
    pub rules: Vec<TrafficRule>,
}

/// The limits that the agent of each target enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServiceLimits {
    /// The maximum number of requests that run concurrently at a target.
    pub slots: u16,
    /// The maximum number of open connections at a target.
    pub connections: u32,
    /// The maximum number of queued requests at a target.
    pub queue: u16,
}

impl Default for ServiceLimits {
    fn default() -> Self {
        Self {
            slots: 4,
            connections: 2_000,
            queue: 64,
        }
    }
}

const fn default_deadline() -> SpanMillis {
    SpanMillis::new(10_000)
}

const fn default_retry_percent() -> u8 {
    10
}
