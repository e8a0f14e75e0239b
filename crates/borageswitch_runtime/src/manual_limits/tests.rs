use super::*;

fn item(key: &str, value: &str) -> Item {
    Item { key: key.into(), value: value.into(), revision: 1 }
}

#[test]
fn values_that_are_no_rate_are_left_out_and_the_others_are_in_force() {
    // A slip of the operator's hand must neither admit nothing nor hide the other limits.
    let items = [
        item("bs/in/j/00000000000000aa", "2"),
        item("bs/in/l/q/runs", " 2.5\n"),
        item("bs/in/l/c/loop", "0"),
        item("bs/in/l/c/a", "-1"),
        item("bs/in/l/c/b", "NaN"),
        item("bs/in/l/c/d", "inf"),
        item("bs/in/l/c/e", "two"),
        item("bs/in/l/x/f", "2"),
    ];

    let limits = decode_all(&items);

    let queue = LimitSubject::Queue(QueueName::from("runs"));
    let caller = LimitSubject::Caller(CallerName::from("loop"));
    assert_eq!(limits, [(queue, 2.5), (caller, 0.0)]);
}
