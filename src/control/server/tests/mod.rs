//! Tests of a control replica's server.

pub(crate) mod fixture;

mod calls;
mod overload;
mod watch;
