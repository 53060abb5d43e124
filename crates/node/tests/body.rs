//! Memory of bodies that are being read.

use assert_matches::assert_matches;
use lagoonyard_node::traffic::{BodyError, Budget, Buffer};

const PART_BYTES: usize = 16 << 10;
const BUDGET_BYTES: usize = 4 << 20;
const BODY_BYTES_MAX: usize = 1 << 20;

/// Guards against bodies that take more memory than their budget, because spare room for bytes to come was not counted.
#[test]
fn the_memory_of_bodies_without_end_stays_within_their_budget() {
    let (budget, part) = (Budget::new(BUDGET_BYTES), [b'x'; PART_BYTES]);
    let mut buffers: Vec<_> = (0..100).map(|_| Buffer::new(BODY_BYTES_MAX, &budget)).collect();
    let mut refused = 0;
    while refused == 0 {
        refused = buffers.iter_mut().filter_map(|buffer| buffer.push(&part).err()).count();
        let allocated: usize = buffers.iter().map(Buffer::allocated).sum();
        assert!(allocated <= BUDGET_BYTES, "{allocated} bytes");
    }
    buffers.clear();
    assert_matches!(Buffer::new(BODY_BYTES_MAX, &budget).push(&[b'x'; BODY_BYTES_MAX]), Ok(()));
}

/// Guards against a body that is refused although it fits, because room for more than its length was counted.
#[test]
fn a_body_that_is_as_large_as_its_budget_is_read() {
    let budget = Budget::new(BODY_BYTES_MAX);
    let mut buffer = Buffer::new(BODY_BYTES_MAX, &budget);
    for _ in 0..BODY_BYTES_MAX / PART_BYTES {
        buffer.push(&[b'x'; PART_BYTES]).unwrap();
    }
    assert_eq!(buffer.allocated(), BODY_BYTES_MAX);
    assert_matches!(buffer.push(b"x"), Err(BodyError::TooLarge { limit: BODY_BYTES_MAX }));
}
