use tokio::sync::{mpsc, oneshot};

use super::target_tracker::NoticeVerdict;
use crate::clock::SpanMillis;

/// Whether a target takes new flows, in its own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new flows.
    Ready,
    /// It is about to end.
    Draining,
}

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetNotice {
    /// Its name; a target that starts again may have the same.
    pub id: String,
    /// When it started, in Unix milliseconds by its own clock; zero if untold.
    pub started_at: u64,
    /// Counts its announcements since it started.
    pub sequence: u64,
    /// Whether it takes new flows.
    pub state: TargetState,
    /// How much longer it works slowly after its start.
    pub warm_up_left: SpanMillis,
    /// How many requests it works on at a time, if it says so.
    pub slots: Option<u32>,
}

/// What the target's calls want of the agent.
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

/// Hands the target's calls to the agent.
#[derive(Debug, Clone)]
pub struct SideHandle {
    pub(super) commands: mpsc::Sender<SideCommand>,
}

impl SideHandle {
    /// Takes an announcement of the target. When it returns true, the agent acts
    /// on it: a draining target gets no new flow.
    pub async fn announce(&self, notice: TargetNotice) -> bool {
        let (answer, verdict) = oneshot::channel();
        let command = SideCommand::Announce { notice, answer };
        self.commands.send(command).await.is_ok() && verdict.await.is_ok()
    }

    /// Takes word that the target called `id` has ended; returns whether the
    /// agent acts on it.
    pub async fn note_ended(&self, id: String) -> bool {
        let (answer, verdict) = oneshot::channel();
        let command = SideCommand::End { id, answer };
        self.commands.send(command).await.is_ok() && verdict.await.is_ok()
    }
}
