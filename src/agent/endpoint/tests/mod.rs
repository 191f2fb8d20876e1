//! Tests of the endpoint's parts behind the tunnel.

mod answer_choice;
mod crossed_copies;
mod reset_tokens;
