//! Tests of the directory.
