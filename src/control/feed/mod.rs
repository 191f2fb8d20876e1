//! The feed that sends route changes to watchers, within a byte budget for each.

mod change_history;
mod delta_builder;
mod feed_answer;
mod feed_notifier;
mod feed_scope;
mod feed_state;
mod reply_cache;
mod watcher_budget;
mod watcher_table;

pub(crate) use change_history::ChangeHistory;
pub(crate) use feed_answer::{EncodedReply, FeedAnswer};
pub(crate) use feed_notifier::FeedNotifier;
pub(crate) use feed_scope::FeedScope;
pub(crate) use feed_state::FeedState;
pub(crate) use watcher_budget::WatcherBudget;
pub(crate) use watcher_table::WatcherTable;

use delta_builder::DeltaBuilder;
use reply_cache::ReplyCache;

#[cfg(test)]
mod tests;
