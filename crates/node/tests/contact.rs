//! Guards against an outage that one call has seen and others have not.

mod common;

use std::thread::sleep;

use common::ms;
use lagoonyard_node::{clock, contact::Contact};

#[test]
fn an_outage_ends_with_the_first_answer_to_any_call() {
    let contact = Contact::default();
    let began_at = clock::now();
    contact.record_loss(began_at);
    sleep(ms(20));
    contact.record_answer();
    let answered_at = clock::now();
    sleep(ms(200));
    // The call that failed is answered as well.
    contact.record_answer();
    let outage = contact.outage_since(began_at);
    assert!(outage.ended_at <= answered_at, "{outage:?}");
    assert_eq!((outage.began_at, outage.lost_at), (began_at, began_at));
}

#[test]
fn only_answers_between_two_times_count() {
    let contact = Contact::default();
    let before = clock::now();
    sleep(ms(10));
    contact.record_answer();
    sleep(ms(10));
    let after = clock::now();
    assert!(contact.has_answered(before, after));
    assert!(!contact.has_answered(after, after + ms(1_000)));
    assert!(!contact.has_answered(ms(0), before));
}

/// Guards against a call that was lost after the outage, such as one on a dead connection.
#[test]
fn the_last_loss_is_within_the_outage() {
    let contact = Contact::default();
    let began_at = clock::now();
    contact.record_answer();
    contact.record_loss(clock::now() + ms(1_000));
    let outage = contact.outage_since(began_at);
    assert!(outage.lost_at <= outage.ended_at, "{outage:?}");
}
