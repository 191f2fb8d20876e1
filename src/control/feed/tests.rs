//! Tests of the feed.
