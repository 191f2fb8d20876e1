//! Tests of the routing core.

mod chain_choice;
mod connection_ids;
mod sample_routes;
mod table_updates;
