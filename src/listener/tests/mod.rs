//! Tests of routes that listeners have.
