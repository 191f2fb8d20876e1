use tokio::sync::{mpsc, oneshot};

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

/// What an agent did with a call of its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeOutcome {
    /// What the call says is in force.
    InForce,
    /// It is not: the call looks outdated, or the agent is stopping. A target that runs
    /// calls again.
    NotInForce,
    /// The call can't be of this target; its sequence number can't follow the one before.
    Odd,
}

/// A call of the target to its agent.
#[derive(Debug)]
pub(super) enum SideCommand {
    /// The target announces itself.
    Announce {
        notice: TargetNotice,
        answer: oneshot::Sender<NoticeOutcome>,
    },
    /// The target has ended.
    End {
        id: String,
        answer: oneshot::Sender<NoticeOutcome>,
    },
}

/// Passes the target's calls to the agent's event loop.
#[derive(Debug, Clone)]
pub struct SideHandle {
    pub(super) commands: mpsc::Sender<SideCommand>,
}

impl SideHandle {
    /// Passes an announcement to the agent and returns once the agent has handled it: a
    /// draining target whose announcement is in force gets no new flow.
    pub async fn announce(&self, notice: TargetNotice) -> NoticeOutcome {
        let (answer, outcome) = oneshot::channel();
        self.call(SideCommand::Announce { notice, answer }, outcome)
            .await
    }

    /// Tells the agent that the target called `id` has ended.
    pub async fn note_ended(&self, id: String) -> NoticeOutcome {
        let (answer, outcome) = oneshot::channel();
        self.call(SideCommand::End { id, answer }, outcome).await
    }

    async fn call(
        &self,
        command: SideCommand,
        outcome: oneshot::Receiver<NoticeOutcome>,
    ) -> NoticeOutcome {
        if self.commands.send(command).await.is_err() {
            return NoticeOutcome::NotInForce;
        }
        outcome.await.unwrap_or(NoticeOutcome::NotInForce)
    }
}
