//! Keeps a process's route table up to date from control's feed.

mod route_watch;
mod watch_event;

pub(crate) use route_watch::{RouteWatch, WatchState};
pub(crate) use watch_event::WatchEvent;
