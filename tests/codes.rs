//! Guards against two result codes with one number, a code with a wrong kind, and a docs page that lacks a code.

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

#[test]
fn the_docs_page_lists_every_code() {
    let page = include_str!("../docs/codes.md");
    for &code in Code::ALL {
        let kind = serde_json::to_value(code.kind()).unwrap();
        let row = format!(
            "| {code} | {} | `{}` | {} |",
            code.status(),
            kind.as_str().unwrap(),
            code.text()
        );
        assert!(page.contains(&row), "{row}");
    }
}
