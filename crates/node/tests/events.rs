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

/// Data of the events of a stream.
type Data = Vec<Box<str>>;

/// Data of the events of a stream whose bytes arrive one by one, and whether its end is complete.
fn data_of(stream: &str) -> Result<(Data, bool), Error> {
    let mut parser = Parser::new("x-version");
    let mut data = Vec::new();
    for byte in stream.as_bytes() {
        parser.push(&[*byte]);
        while let Some(event) = parser.next_event()? {
            data.push(event.data);
        }
    }
    parser.take_skipped();
    Ok((data, !parser.is_partial()))
}

/// Guards against texts that lack a line: in a block, each line of data replaced the one before.
#[test]
fn lines_of_data_are_joined_as_the_format_says() {
    for (stream, expected) in [
        ("data: a\ndata: b\nid: 1\n\n", "a\nb"),
        ("id: 1\ndata:\ndata: b\n\n", "\nb"),
        ("id: 1\ndata: a\ndata:\n\n", "a\n"),
        ("id: 1\ndata:\n\n", ""),
        ("id: 1\ndata\n\n", ""),
        ("id: 1\n\n", ""),
        ("id: 1\ndata\ndata\n\n", "\n"),
        ("id: 1\ndata: a\ndata\n\n", "a\n"),
        ("id: 1\ndata:a\ndata:  b\n\n", "a\n b"),
        ("id: 1\n: data: x\ndatum: y\nretry: 5\ndata: a\n\n", "a"),
        ("\u{feff}id: 1\ndata: a\n\n", "a"),
    ] {
        let expected = vec![expected.into()];
        assert_eq!(data_of(stream), Ok((expected, true)), "{stream:?}");
    }
}

/// Guards against streams of which no event was found, as their lines end otherwise.
#[test]
fn lines_end_with_cr_lf_or_both() {
    for end in ["\n", "\r", "\r\n"] {
        let stream = "id: 1\ndata: a\ndata: b\n\nx-version: 3\nid: 2\ndata: c\n\n";
        let stream = stream.replace('\n', end);
        let expected = vec!["a\nb".into(), "c".into()];
        assert_eq!(data_of(&stream), Ok((expected, true)), "{stream:?}");
    }
    let mixed = "id: 1\r\ndata: a\n\rid: 2\rdata: b\r\n\n";
    assert_eq!(data_of(mixed), Ok((vec!["a".into(), "b".into()], true)));
}

/// Guards against runs that end at a comment, which was read as an event without an id.
#[test]
fn blocks_without_an_event_are_skipped() {
    let stream =
        ": ping\n\nid: 1\ndata: a\n\n: ping\r\n\r\nevent: x\n\n\n\nid: 2\ndata: b\n\n: bye\n";
    assert_eq!(data_of(stream), Ok((vec!["a".into(), "b".into()], true)));
}

/// Guards against a text that lacks an event without a trace.
#[test]
fn what_cannot_be_read_is_refused() {
    for stream in [
        "data: a\n\n",
        "id\ndata: a\n\n",
        "id: x\ndata: a\n\n",
        "id: 18446744073709551616\ndata: a\n\n",
        "x-version: 3\n\n",
        "internal error\n\n",
        "HTTP/1.1 500 Error\r\n\r\n",
        "x-version: x\nid: 1\ndata: a\n\n",
    ] {
        assert_matches!(data_of(stream), Err(Error::Malformed { .. }), "{stream:?}");
    }
    let mut progress = Progress { last_event: u64::MAX, ..Progress::default() };
    assert_matches!(progress.append(&event(0), 1), Err(Error::Gap { .. }));
}

/// Guards against streams that reach a caller with other bytes than the target wrote.
#[test]
fn the_bytes_of_events_and_of_what_is_skipped_are_the_stream() {
    let stream =
        "\u{feff}: hi\r\n\r\nid: 1\r\ndata: a\r\n\r\n: ping\n\nid: 2\rdata: b\r\rid: 3\n\n";
    let bytes = stream.as_bytes();
    for cut in 0..bytes.len() {
        let (mut parser, mut sent) = (Parser::new("v"), Vec::new());
        for part in [&bytes[..cut], &bytes[cut..]] {
            parser.push(part);
            while let Some((_, raw)) = parser.next_raw().unwrap() {
                sent.extend_from_slice(&raw);
            }
            sent.extend_from_slice(&parser.take_skipped());
        }
        assert_eq!(sent, bytes, "cut at {cut}");
        assert!(!parser.is_partial(), "cut at {cut}");
    }
}
