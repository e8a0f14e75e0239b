//! Serves the operators' remote procedure calls.
