//! Tests of the control state.
