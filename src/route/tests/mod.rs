//! Tests of packet routing.

mod chain_choice;
mod connection_ids;
mod sample_routes;
mod table_updates;
