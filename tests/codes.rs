//! Guards against two result codes with one number and against a code that loses its kind.

use lagoonyard::code::{Code, Kind};

#[test]
fn numbers_are_unique_and_resolve() {
    for &code in Code::ALL {
        assert_eq!(Code::from_number(code as u16), Some(code));
    }
}

#[test]
fn not_run_and_unknown_are_distinct() {
    assert_eq!(Code::QueueFull.kind(), Kind::NotRun);
    assert_eq!(Code::OutcomeUnknown.kind(), Kind::OutcomeUnknown);
    assert_eq!(Code::KeyInvalid.kind(), Kind::OutcomeUnknown);
}
