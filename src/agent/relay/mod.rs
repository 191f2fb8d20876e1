//! Relays requests from callers and peers to the upstream, and the answers back.

mod answer_collector;
mod answer_sink;
mod caller_watch;
mod connection_server;
mod coordinator_state;
mod coordinator_tickets;
mod driver_actions;
mod interruption;
mod nonce_cache;
mod peer_exchange;
mod peer_head;
mod peer_message;
mod peer_server;
mod relay_connection;
mod request_body;
mod request_coordinator;
mod request_driver;
mod request_head;
mod request_server;
mod slot_wait;
mod ticket_handover;

pub(crate) use connection_server::{ConnectionContext, serve_connection};
pub(crate) use coordinator_state::RequestCounts;
pub(crate) use peer_exchange::PeerExchange;
pub(crate) use peer_server::PeerServer;
pub use peer_server::PeerServerError;
pub(crate) use request_coordinator::RequestCoordinator;
pub(crate) use ticket_handover::hand_over_tickets;

use answer_collector::AnswerCollector;
use answer_sink::AnswerSink;
use caller_watch::CallerWatch;
use coordinator_state::CoordinatorState;
use nonce_cache::NonceCache;
use peer_head::{FINAL_HEADER, PeerHead, PeerHeadError, PeerPurpose};
use peer_message::PeerMessage;
use relay_connection::{AttemptError, RelayConnection};
use request_body::{BodySource, RequestBody};
use request_driver::RequestDriver;
use request_server::{IncomingRequest, serve_request};
use slot_wait::{SlotPermit, SlotWait, StreamPermit, WaitOutcome};

#[cfg(test)]
mod tests;
