//! The operators' page shows the table of errors as the program has it.

use std::{fs, path::Path};

use borageswitch_types::error;

#[test]
fn the_page_of_errors_holds_the_programs_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/errors.md");

    let page = fs::read_to_string(path).expect("the page is there");

    let table: String =
        page.lines().filter(|line| line.starts_with('|')).map(|line| format!("{line}\n")).collect();
    assert_eq!(table, error::error_table(), "put this table into docs/operators/errors.md");
}
