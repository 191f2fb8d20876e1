use tokio::sync::oneshot;

use super::RequestCoordinator;
use crate::agent::{
    outcome::{FinalAnswer, RunState},
    request::CallerDeparture,
    ticket::{
        DetachVerdict, LedgerHandover, RequestFingerprint, RunKey, RunOutcome, TicketVerdict,
    },
};

impl RequestCoordinator {
    /// Looks up the idempotency key `text` of a request in the ticket ledgers.
    pub(super) fn present(&self, text: &str, fingerprint: RequestFingerprint) -> TicketVerdict {
        let now = self.now();
        let keys = self.secret().keys();
        let mut state = self.lock();
        match state.ledger.present(text, &keys, fingerprint, now) {
            TicketVerdict::Relay(ticket) => state
                .handovers
                .present(ticket, fingerprint, now)
                .unwrap_or(TicketVerdict::Relay(ticket)),
            verdict => verdict,
        }
    }

    /// Registers a ticket's run; the receiver fires when its last caller leaves.
    pub(super) fn watch_run(&self, run: RunKey) -> oneshot::Receiver<CallerDeparture> {
        let (sender, receiver) = oneshot::channel();
        self.lock().run_watchers.insert(run, sender);
        receiver
    }

    /// Records the outcome of a ticket's run and wakes the requests waiting for it.
    pub(super) fn settle(&self, run: RunKey, outcome: RunOutcome) {
        let now = self.now();
        let mut state = self.lock();
        state.run_watchers.remove(run);
        state.ledger.settle(run, outcome, now);
        drop(state);
        self.wake_waiters();
    }

    /// Returns the outcome of a run, or `None` while it is in progress.
    pub(super) fn outcome(&self, run: RunKey) -> Option<TicketVerdict> {
        self.lock().ledger.outcome(run)
    }

    /// Detaches the caller whose request executes the run.
    ///
    /// Returns `OthersWait` instead of `departure` if other callers wait for it.
    pub(super) fn detach_runner(&self, run: RunKey, departure: CallerDeparture) -> CallerDeparture {
        match self.lock().ledger.detach(run) {
            DetachVerdict::OthersWait => CallerDeparture::OthersWait,
            DetachVerdict::NoCallerWaits => departure,
        }
    }

    /// Detaches a waiting caller; signals the run if it was the last one.
    pub(super) fn detach_waiter(&self, run: RunKey, departure: CallerDeparture) {
        let mut state = self.lock();
        if state.ledger.detach(run) == DetachVerdict::NoCallerWaits
            && let Some(sender) = state.run_watchers.remove(run)
        {
            // The send fails if the run has just ended.
            let _ = sender.send(departure);
        }
    }

    /// Mints a ticket if the answer says that the request did not run.
    pub(super) fn ticket_for(&self, answer: &FinalAnswer) -> Option<String> {
        if answer.run_state() != RunState::NotRun {
            return None;
        }
        let now = self.now();
        let keys = self.secret().keys();
        Some(self.lock().ledger.mint(&keys, now))
    }

    /// Stops new runs under tickets; returns the ledger to hand over to a peer.
    pub(super) fn close_ledger(&self) -> LedgerHandover {
        let now = self.now();
        self.lock().ledger.hand_over(now)
    }

    /// Takes over the ticket ledger of a leaving peer.
    pub(super) fn take_over(&self, handover: LedgerHandover) {
        let now = self.now();
        self.lock().handovers.insert(handover, now);
    }
}
