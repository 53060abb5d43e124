//! Terms of leaders that are over.

use lagoonyard_node::term::Table;

/// Guards against a host that takes a former leader for the present one.
#[test]
fn a_term_is_over_once_a_later_one_has_begun() {
    let terms = Table::default();
    terms.begin("llm", 7);
    assert!(terms.is_over("llm", 6));
    assert!(!terms.is_over("llm", 7));
    assert!(!terms.is_over("desk", 6), "another service");
}

/// Guards against a leader that is believed after its key has left the store.
#[test]
fn a_term_is_over_once_its_key_is_removed() {
    let terms = Table::default();
    terms.begin("llm", 7);
    terms.end("llm", 9);
    assert!(terms.is_over("llm", 7));
    assert!(!terms.is_over("llm", 10), "a later term");
}

/// Guards against news that arrive late and let a former leader act again.
#[test]
fn late_news_of_an_earlier_term_change_nothing() {
    let terms = Table::default();
    terms.begin("llm", 9);
    terms.begin("llm", 7);
    terms.end("llm", 8);
    assert!(terms.is_over("llm", 8));
    assert!(!terms.is_over("llm", 9));
}

/// Guards against a host that believes any leader after its start, since it has seen no leader key go.
#[test]
fn a_first_read_without_a_key_ends_all_earlier_terms() {
    let terms = Table::default();
    terms.begin("llm", 7);
    terms.read_at(20);
    assert!(!terms.is_over("llm", 7), "its key was read");
    assert!(terms.is_over("desk", 20));
    assert!(!terms.is_over("desk", 21), "acquired after the read");
}
