//! One command for all benchmarks of borageswitch.

fn main() {}
