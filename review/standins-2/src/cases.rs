//! The cases.

use std::path::Path;

use crate::{Outcome, record::Record};

mod common;
mod first_config;
mod first_start;
mod late_end;
mod late_ping;
mod odd_ping;

/// A case: runs against the program, with or without its disruption.
pub type Case = fn(&Path, &Record, bool) -> Outcome;

pub fn find(name: &str) -> Option<Case> {
    match name {
        "odd-ping" => Some(odd_ping::run),
        "first-config" => Some(first_config::run),
        "first-start" => Some(first_start::run),
        "late-end" => Some(late_end::run),
        "late-ping" => Some(late_ping::run),
        _ => None,
    }
}
