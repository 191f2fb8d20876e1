//! Messages between control and the other processes, all JSON-RPC.

mod announce_message;
mod apply_message;
mod call_refusal;
mod heartbeat_message;
mod status_message;
mod watch_message;

pub use announce_message::{AnnounceReceipt, AnnounceRequest, WithdrawRequest};
pub use apply_message::{ApplyReceipt, ApplyRequest};
pub use call_refusal::CallRefusal;
pub use heartbeat_message::{HeartbeatReceipt, HeartbeatRequest};
pub use status_message::{ControlStatus, ReplicaRole, ReplicaStatus, WatcherStatus};
pub use watch_message::{FeedReply, WatchRequest, WatchScope, WatcherName};
