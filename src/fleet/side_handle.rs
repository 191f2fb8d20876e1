use tokio::sync::{mpsc, oneshot};

use super::target_tracker::NoticeVerdict;
use crate::clock::SpanMillis;

/// Whether a target accepts new flows, as it reports itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new flows.
    Ready,
    /// It is about to stop and accepts no new flows.
    Draining,
}

/// An announcement of a target to its agent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// The target's id; a restarted target may have the same.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; zero if unknown.
    pub started_at: u64,
    /// The number of this announcement since the target started.
    pub sequence: u64,
    /// Whether it accepts new flows.
    pub state: TargetState,
    /// How much longer it is slow after its start.
    pub warm_up_left: SpanMillis,
    /// How many requests it handles at a time, if it reports that.
    pub slots: Option<u32>,
}

/// A call of the target to its agent.
#[derive(Debug)]
pub(super) enum SideCommand {
    /// The target announces itself.
    Announce {
        notice: TargetNotice,
        answer: oneshot::Sender<NoticeVerdict>,
    },
    /// The target has ended.
    End {
        id: String,
        answer: oneshot::Sender<NoticeVerdict>,
    },
}

/// Passes the target's calls to the agent's event loop.
#[derive(Debug, Clone)]
pub struct SideHandle {
    pub(super) commands: mpsc::Sender<SideCommand>,
}

impl SideHandle {
    /// Passes an announcement to the agent; false if the agent is stopping.
    ///
    /// Once this returns true, the agent has handled it: a draining target gets
    /// no new flow.
    pub async fn announce(&self, notice: TargetNotice) -> bool {
        let (answer, verdict) = oneshot::channel();
        let command = SideCommand::Announce { notice, answer };
        self.commands.send(command).await.is_ok() && verdict.await.is_ok()
    }

    /// Tells the agent that the target called `id` has ended; false if the agent
    /// is stopping.
    pub async fn note_ended(&self, id: String) -> bool {
        let (answer, verdict) = oneshot::channel();
        let command = SideCommand::End { id, answer };
        self.commands.send(command).await.is_ok() && verdict.await.is_ok()
    }
}
