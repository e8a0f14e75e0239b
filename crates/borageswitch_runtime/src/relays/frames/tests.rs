use super::*;

fn frame() -> OutcomeFrame {
    OutcomeFrame { clock: 5, outcomes: vec![(7, Outcome::Stop(OrderResponse::Done))] }
}

#[test]
fn frames_are_read_from_parts_of_any_size() {
    let mut sent = encode(&frame()).to_vec();
    sent.extend_from_slice(&encode(&frame()));
    let mut buf = BytesMut::new();
    let mut read = Vec::new();

    for byte in sent {
        buf.extend_from_slice(&[byte]);
        if let Some(bytes) = take_frame(&mut buf).unwrap() {
            read.push(codec::decode::<OutcomeFrame>("frame", &bytes).unwrap());
        }
    }

    assert_eq!(read, [frame(), frame()]);
}

#[test]
fn a_frame_larger_than_any_that_is_sent_is_an_error() {
    // Guards against memory that a damaged length would reserve.
    let mut buf = BytesMut::from(&[0xff; 8][..]);

    assert_eq!(take_frame(&mut buf), Err(FrameError::TooLarge(0xffff_ffff)));
}
