use std::net::SocketAddrV4;

/// A replica's view of the group's leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaderView {
    /// This replica leads in the given term.
    Leading {
        /// The term; it grows with each election.
        term: u64,
    },
    /// Another replica leads, or no leader is known.
    Following {
        /// The leader's call address, if known.
        leader: Option<SocketAddrV4>,
    },
}
