//! Tests of call and reply authentication.

mod layer;
mod proof;
