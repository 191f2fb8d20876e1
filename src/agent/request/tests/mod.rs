//! Tests of the request state machine.

mod at_most_once;
mod profiles;
mod single_request;
