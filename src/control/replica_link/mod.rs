//! Connections between replicas: TCP with authenticated frames.
//!
//! Each replica dials every other one and sends only on the connections that it
//! has dialled; the other side answers with a sign of life.

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
