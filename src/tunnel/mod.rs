//! Authenticated UDP encapsulation between balancers and agents, and path health
//! per source port.

mod datagram_socket;
mod frame_error;
mod frame_header;
mod path_health;
mod path_table;

pub(crate) use datagram_socket::{DatagramSocket, ReceiveBuffers, ReceivedDatagram};
pub use frame_error::FrameError;
pub use frame_header::{FrameHeader, FrameKind, MAX_HEADER_BYTES};
pub(crate) use path_health::PathHealth;
pub(crate) use path_table::PathTable;

#[cfg(test)]
mod tests;
