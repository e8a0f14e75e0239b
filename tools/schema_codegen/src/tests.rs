/// Somebody changes the schema and forgets to generate. The daemon would go on speaking the old one,
/// and operators would read of calls that it does not have.
#[test]
fn the_committed_code_is_what_the_schema_gives() {
    super::compare().unwrap();
}
