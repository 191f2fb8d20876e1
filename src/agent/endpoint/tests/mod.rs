//! Tests of the QUIC endpoint behind the tunnel.

mod answer_path_choice;
mod duplicated_first_packets;
mod leaving_agent;
mod reset_tokens;
