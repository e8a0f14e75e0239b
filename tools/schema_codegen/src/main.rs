//! Generates the committed code of the operators' schema.

fn main() {}
