//! Which targets there are: soft state that agents announce and repeat.
//!
//! Every replica of the control group keeps a directory of its own; nothing of
//! it is agreed or written to disk. A replica that has just started knows
//! little, so its directory is only added to what a balancer knows until it has
//! heard every agent that still runs.

mod directory_news;
mod target_directory;
mod target_record;
mod target_view;

pub(crate) use directory_news::{DirectoryNews, DirectoryPlace};
pub(crate) use target_directory::{ANNOUNCE_MILLIS, TargetDirectory};
pub(crate) use target_record::{TargetRecord, TargetStanding};
pub(crate) use target_view::TargetView;

#[cfg(test)]
mod tests;
