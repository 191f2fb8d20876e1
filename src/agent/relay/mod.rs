//! Takes requests from callers and peers to the upstream and back.

mod answer_collector;
mod answer_sink;
mod caller_watch;
mod connection_server;
mod desk_state;
mod interrupt;
mod nonce_book;
mod peer_exchange;
mod peer_head;
mod peer_message;
mod peer_server;
mod request_body;
mod request_desk;
mod request_head;
mod request_run;
mod request_server;
mod run_actions;
mod slot_wait;
mod ticket_desk;
mod ticket_handover;
mod upstream_link;
mod upstream_pool;

pub(crate) use connection_server::{ServeContext, serve_connection};
pub(crate) use desk_state::DeskCounts;
pub(crate) use peer_exchange::PeerExchange;
pub(crate) use peer_server::PeerServer;
pub use peer_server::PeerServerError;
pub(crate) use request_desk::RequestDesk;
pub(crate) use ticket_handover::hand_over_tickets;

use answer_collector::AnswerCollector;
use answer_sink::AnswerSink;
use caller_watch::CallerWatch;
use desk_state::DeskState;
use nonce_book::NonceBook;
use peer_head::{FINAL_HEADER, PeerHead, PeerHeadError, PeerPurpose};
use peer_message::PeerMessage;
use request_body::{BodySource, RequestBody};
use request_run::RequestRun;
use request_server::{IncomingRequest, serve_request};
use slot_wait::{SlotPermit, SlotWait, StreamPermit, WaitEnd};
use upstream_link::{LinkError, UpstreamLink};
use upstream_pool::UpstreamPool;

#[cfg(test)]
mod tests;
