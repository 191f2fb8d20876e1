use tokio::sync::oneshot;

use super::RequestDesk;
use crate::agent::{
    outcome::{FinalAnswer, RunState},
    request::CallerDeparture,
    ticket::{
        DetachVerdict, LedgerHandover, RequestFingerprint, RunKey, RunOutcome, TicketVerdict,
    },
};

impl RequestDesk {
    /// Decides on a request that carries an idempotency key.
    pub(super) fn present(&self, text: &str, print: RequestFingerprint) -> TicketVerdict {
        let now = self.now();
        let keys = self.secret().keys();
        let mut state = self.lock();
        match state.ledger.present(text, &keys, print, now) {
            TicketVerdict::Relay(ticket) => state
                .heirs
                .present(ticket, print, now)
                .unwrap_or(TicketVerdict::Relay(ticket)),
            verdict => verdict,
        }
    }

    /// Registers the one run under a ticket; it is told when nobody waits.
    pub(super) fn watch_run(&self, run: RunKey) -> oneshot::Receiver<CallerDeparture> {
        let (sender, receiver) = oneshot::channel();
        self.lock().runs.insert(run, sender);
        receiver
    }

    /// Records how the one run under a ticket ended, and wakes who waits.
    pub(super) fn settle(&self, run: RunKey, outcome: RunOutcome) {
        let now = self.now();
        let mut state = self.lock();
        state.runs.remove(run);
        state.ledger.settle(run, outcome, now);
        drop(state);
        self.wake_waiters();
    }

    /// Returns how a run that was waited for has ended; nothing while it runs.
    pub(super) fn outcome(&self, run: RunKey) -> Option<TicketVerdict> {
        self.lock().ledger.outcome(run)
    }

    /// Counts one caller of the own run less.
    pub(super) fn detach_runner(&self, run: RunKey, departure: CallerDeparture) -> CallerDeparture {
        match self.lock().ledger.detach(run) {
            DetachVerdict::OthersWait => CallerDeparture::OthersWait,
            DetachVerdict::NobodyWaits => departure,
        }
    }

    /// Counts one waiting caller less; the run is told if it was the last.
    pub(super) fn detach_waiter(&self, run: RunKey, departure: CallerDeparture) {
        let mut state = self.lock();
        if state.ledger.detach(run) == DetachVerdict::NobodyWaits
            && let Some(sender) = state.runs.remove(run)
        {
            // The run may have ended in the meantime.
            let _ = sender.send(departure);
        }
    }

    /// Returns a fresh ticket for an answer that says *not run*.
    pub(super) fn ticket_for(&self, answer: &FinalAnswer) -> Option<String> {
        if answer.run_state() != RunState::NotRun {
            return None;
        }
        let now = self.now();
        let keys = self.secret().keys();
        Some(self.lock().ledger.mint(&keys, now))
    }

    /// Begins no new run from now on; returns what a peer has to know.
    pub(super) fn close_ledger(&self) -> LedgerHandover {
        let now = self.now();
        self.lock().ledger.hand_over(now)
    }

    /// Answers for the tickets of a peer from now on.
    pub(super) fn take_over(&self, handover: LedgerHandover) {
        let now = self.now();
        self.lock().heirs.take_over(handover, now);
    }
}
