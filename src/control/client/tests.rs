//! Tests of the client.
