//! JSON-RPC messages between the control group and its clients.

mod announce_message;
mod apply_message;
mod call_name;
mod call_refusal;
mod dump_message;
mod heartbeat_message;
mod packed_routes;
mod status_message;
mod watch_message;

pub use announce_message::{AnnounceReply, AnnounceRequest, WithdrawRequest};
pub use apply_message::{ApplyReply, ApplyRequest};
pub use call_name::{CallName, MAX_REPLY_BYTES, MAX_REQUEST_BYTES, REFUSAL_CODE};
pub use call_refusal::{AnnounceFault, CallRefusal};
pub use dump_message::{ControlDump, DumpedService};
pub use heartbeat_message::{HeartbeatReply, HeartbeatRequest};
pub use status_message::{ControlStatus, ReplicaRole, ReplicaStatus, StatusRequest, WatcherStatus};
pub use watch_message::{FeedReply, WatchRequest, WatchScope, WatcherName};
