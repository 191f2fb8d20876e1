//! Frames between balancers and agents.
