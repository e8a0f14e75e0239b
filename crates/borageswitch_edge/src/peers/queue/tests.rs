use bytes::Buf;

use super::{Keep, MAX_BYTES, SendQueue};

/// The first bytes of the frames that are sent next.
fn pop(queue: &SendQueue) -> Option<Vec<u8>> {
    let mut data = smol::block_on(queue.pop())?.bytes;
    let mut firsts = Vec::new();
    while data.has_remaining() {
        let len = data.get_u32() as usize;
        firsts.push(data.split_to(len)[0]);
    }
    Some(firsts)
}

#[test]
fn only_the_newest_heartbeat_waits() {
    let queue = SendQueue::new();

    queue.push(Keep::Newest, vec![1]);
    queue.push(Keep::Always, vec![2]);
    queue.push(Keep::Newest, vec![3]);

    assert_eq!(pop(&queue), Some(vec![2, 3]));
}

/// A peer stops reading while traffic threads go on asking it for slots. Nobody notices: the oldest
/// asks, whose terms have ended, give way, and the change behind them is still sent.
#[test]
fn messages_about_slots_give_way_to_changes() {
    let queue = SendQueue::new();
    for _ in 0..4 {
        queue.push(Keep::IfRoom, vec![0; MAX_BYTES / 4]);
    }

    queue.push(Keep::Always, vec![7; MAX_BYTES / 2]);

    assert_eq!(pop(&queue), Some(vec![0]));
    assert_eq!(pop(&queue), Some(vec![0]));
    assert_eq!(pop(&queue), Some(vec![7]));
}

/// A peer stops reading while the fleet changes. Without a bound the daemon would keep every change
/// for it; instead the connection ends and the peer catches up on the next one.
#[test]
fn a_queue_full_of_changes_ends_the_connection() {
    let queue = SendQueue::new();

    queue.push(Keep::Always, vec![0; MAX_BYTES]);
    queue.push(Keep::Always, vec![1]);

    assert_eq!(pop(&queue), None);
}

#[test]
fn a_heartbeat_without_room_is_left_out() {
    let queue = SendQueue::new();
    queue.push(Keep::Always, vec![5; MAX_BYTES]);

    queue.push(Keep::Newest, vec![1]);

    assert_eq!(pop(&queue), Some(vec![5]));
}
