//! Tests of the balancer's decisions.

mod datagram_verdicts;
