//! Guards against texts with missing, repeated or truncated events, and against events without a version.

use assert_matches::assert_matches;
use lagoonyard_node::events::{Error, Event, Parser, Progress};

fn event(id: u64) -> Event {
    Event { id, data: "x".into(), version: None }
}

#[test]
fn events_are_parsed_wherever_the_bytes_are_split() {
    let stream = b"id: 1\ndata: a\n\nx-version: 3\nid: 2\ndata: b: c\n\n";
    for cut in 0..stream.len() {
        let mut parser = Parser::new("x-version");
        let mut found = Vec::new();
        for part in [&stream[..cut], &stream[cut..]] {
            parser.push(part);
            while let Some(event) = parser.next_event().unwrap() {
                found.push(event);
            }
        }
        assert_eq!(found.len(), 2, "cut at {cut}");
        assert_eq!((&*found[0].data, found[0].version), ("a", None));
        assert_eq!((&*found[1].data, found[1].version), ("b: c", Some(3)));
        assert!(!parser.is_partial());
    }
}

#[test]
fn a_stream_that_ends_within_an_event_is_partial() {
    let mut parser = Parser::new("v");
    parser.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert!(parser.next_event().unwrap().is_some());
    assert!(parser.next_event().unwrap().is_none());
    assert!(parser.is_partial());
}

#[test]
fn an_event_without_an_id_is_rejected() {
    let mut parser = Parser::new("v");
    parser.push(b"data: a\n\n");
    assert_matches!(parser.next_event(), Err(Error::Malformed { .. }));
}

#[test]
fn gaps_and_repeated_events_are_rejected() {
    let mut progress = Progress::default();
    progress.append(&event(1), 1).unwrap();
    assert_matches!(progress.append(&event(3), 1), Err(Error::Gap { last: 1, found: 3 }));
    assert_matches!(progress.append(&event(1), 1), Err(Error::Gap { last: 1, found: 1 }));
    progress.append(&event(2), 2).unwrap();
    assert_eq!(progress.text, "x\nx");
    assert_eq!(progress.versions.iter().copied().collect::<Vec<_>>(), [1, 2]);
}

#[test]
fn a_text_continues_only_if_its_versions_are_accepted() {
    let mut progress = Progress::default();
    assert!(progress.can_continue(9, 9, true));
    progress.append(&event(1), 4).unwrap();
    assert!(progress.can_continue(4, 5, false));
    assert!(!progress.can_continue(5, 5, false));
    assert!(progress.can_continue(4, 4, true));
    assert!(!progress.can_continue(4, 5, true));
}
