//! Idempotency tickets: keys under which a request runs at most once.

mod handover_store;
mod kept_outcome;
mod ledger_entry;
mod ledger_handover;
mod sealed_ticket;
mod ticket_ledger;
mod ticket_verdict;

pub(crate) use handover_store::{HandoverStore, choose_successors};
pub(crate) use kept_outcome::{KeptHeader, KeptOutcome};
pub(crate) use ledger_entry::{RequestFingerprint, RunOutcome};
pub(crate) use ledger_handover::{HandoverState, HandoverTicket, LedgerHandover};
pub(crate) use sealed_ticket::{SealedTicket, TicketError};
pub(crate) use ticket_ledger::{LedgerCounts, LedgerLimits, TicketLedger};
pub(crate) use ticket_verdict::{DetachVerdict, RunKey, TicketVerdict};

#[cfg(test)]
mod tests;
