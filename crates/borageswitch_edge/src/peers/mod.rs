//! Keeps the connections between daemons.
