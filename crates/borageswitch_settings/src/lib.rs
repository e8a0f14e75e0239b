//! Settings files in JSON with comments, checked as a whole.
