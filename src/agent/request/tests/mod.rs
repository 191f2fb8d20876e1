//! Tests of one request from its arrival to its end.

mod at_most_once;
mod profiles;
mod single_request;
