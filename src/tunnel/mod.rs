//! Frames between balancers and agents, and the health of their paths.

mod datagram_socket;
mod frame_error;
mod frame_header;
mod path_book;
mod path_health;

pub(crate) use datagram_socket::{DatagramSocket, ReceiveBuffers, ReceivedDatagram};
pub use frame_error::FrameError;
pub use frame_header::{FrameHeader, FrameKind, LONGEST_HEADER_BYTES};
pub(crate) use path_book::PathBook;
pub(crate) use path_health::PathHealth;

#[cfg(test)]
mod tests;
