//! Connections between replicas: authenticated frames over TCP.
//!
//! Each replica dials every other one and sends messages only on connections that
//! it dialled. The acceptor sends back only keep-alives.

mod frame_codec;
mod frame_stream;
mod link_error;
mod link_listener;
mod link_sender;
mod session_key;

pub use link_error::LinkError;
pub(crate) use link_listener::LinkListener;
pub(crate) use link_sender::LinkSender;

#[cfg(test)]
mod tests;
