use std::{io, net::SocketAddrV4};

use tokio::{net::TcpStream, time::timeout};

use super::side_node::PROBE_TIMEOUT_MILLIS;
use crate::clock::ClockMillis;

/// What an attempt to connect to the target, on the agent's VM, has shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProbeOutcome {
    /// A process listens at the target's address.
    Present,
    /// No process listens there.
    Refused,
    /// Nothing: the target's queue of connections may be full, or this VM busy or out
    /// of descriptors.
    Unknown,
}

impl ProbeOutcome {
    /// Returns what the result of a connection attempt shows.
    pub(crate) fn of<T>(result: &io::Result<T>) -> Self {
        match result {
            Ok(_) => Self::Present,
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Self::Refused,
            Err(_) => Self::Unknown,
        }
    }
}

/// A probe of the target with its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct TargetProbe {
    /// When it was sent; the outcome may be delivered much later.
    pub(crate) started_at: ClockMillis,
    pub(crate) outcome: ProbeOutcome,
}

impl TargetProbe {
    /// Connects to `target`; `now` is the time of the agent's clock.
    pub(crate) async fn run(target: SocketAddrV4, now: ClockMillis) -> Self {
        let connect = TcpStream::connect(target);
        let result = timeout(PROBE_TIMEOUT_MILLIS.duration(), connect).await;
        Self {
            started_at: now,
            outcome: result.map_or(ProbeOutcome::Unknown, |result| ProbeOutcome::of(&result)),
        }
    }
}
