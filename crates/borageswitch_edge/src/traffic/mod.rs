//! Serves callers and sends their requests to targets.
