//! Tests of the server of a control replica.

pub(crate) mod fixture;

mod calls;
mod overload;
mod watching;
