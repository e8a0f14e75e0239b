use super::Text;

#[test]
fn the_order_is_that_of_the_texts() {
    // Texts that end early, begin alike, or hold zeros and letters beyond ASCII.
    let texts =
        ["", "\0", "a", "a\0", "ab", "abcdefgh", "abcdefgh\0", "abcdefghi", "abcdefgi", "ä", "z"];

    for left in texts {
        for right in texts {
            let (l, r) = (Text::from(left), Text::from(right));
            assert_eq!(l.cmp(&r), left.cmp(right), "{left:?} and {right:?}");
            assert_eq!(l == r, left == right, "{left:?} and {right:?}");
        }
    }
}
