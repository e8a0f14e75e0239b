//! A takeover from a store that fails some calls.

use borageswitch_scheduler::ledger::record::Record;

use super::*;

const PAGES: usize = 9;

fn page(number: usize) -> Page {
    let key: Arc<str> = format!("log/{number}").into();
    let item = Item { key, value: Vec::new(), revision: 1 };
    Page { items: vec![item], more: number + 1 < PAGES, store_revision: 100 + number as Revision }
}

fn number_after(after: Option<&str>) -> usize {
    after.map_or(0, |key| key.trim_start_matches("log/").parse::<usize>().unwrap() + 1)
}

#[test]
fn a_takeover_resumes_after_the_last_page() {
    // Guards against a takeover that restarts after each failed call, and so never ends.
    let mut listing = Listing::default();
    let mut calls = 0;

    while !listing.complete {
        calls += 1;
        let fails = calls % 3 == 0;
        if !fails {
            listing.add_page(page(number_after(listing.last_key().as_deref()))).unwrap();
        }
        assert!(calls < 2 * PAGES, "it does not end");
    }

    assert_eq!(listing.items.len(), PAGES);
    assert_eq!(listing.first_revision, Some(100));
}

#[test]
fn an_empty_page_before_others_does_not_end_a_list() {
    // Guards against a takeover with a part of the log, which loses accepted jobs.
    let mut listing = Listing::default();
    listing.add_page(page(0)).unwrap();

    let result = listing.add_page(Page { items: Vec::new(), ..page(1) });

    assert_eq!(result, Err(StoreError::Unreadable));
    assert!(!listing.complete);
}

fn append(number: u64) -> Item {
    let records = vec![Record::ExecutorGone { executor: "e1".into() }];
    Item { key: keys::append(number), value: codec::encode(&records), revision: number }
}

fn rebuild_from(through: u64, appends: &[Item]) -> StoreResult<u64> {
    let snapshot = Snapshot { through, ..Snapshot::default() };
    rebuild(snapshot, 0, appends, &Listing::default()).map(|recovered| recovered.next_append)
}

#[test]
fn appends_that_the_snapshot_includes_may_remain() {
    assert_eq!(rebuild_from(4, &[append(3), append(5), append(6)]), Ok(7));
}

#[test]
fn a_missing_append_stops_a_takeover() {
    // Guards against leading without the ends and jobs that the missing append recorded.
    assert_eq!(rebuild_from(4, &[append(6)]), Err(StoreError::Unreadable));
    assert_eq!(rebuild_from(4, &[append(5), append(7)]), Err(StoreError::Unreadable));
}

#[test]
fn an_operator_can_replace_a_missing_append_by_an_empty_one() {
    // Guards against a change of the encoding that the operators' page describes.
    let empty = Item { value: vec![0], ..append(5) };

    assert_eq!(rebuild_from(4, &[empty, append(6)]), Ok(7));
}
