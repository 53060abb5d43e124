//! Guards against timelines that omit the lines of a host, are out of order or hide dropped lines.

use std::io::{BufRead, Cursor};

use assert_matches::assert_matches;
use lagoonyard_node::explain::{Error, Timeline};

fn input(text: &str) -> Box<dyn BufRead> {
    Box::new(Cursor::new(text.to_owned()))
}

const ONE: &str = r#"
{"time_ms":30,"host":"a","message":"item run ended","job":"j1","item":"i1","outcome":"Slow"}
{"time_ms":10,"host":"a","message":"job submitted","job":"j1","outcome":"Accepted"}
{"time_ms":11,"host":"a","message":"job submitted","job":"j2","outcome":"Accepted"}
not a line
"#;
const OTHER: &str = r#"
  3.1 b {"time_ms":20,"host":"b","message":"other","request":"r","lines_left_out":4}
  3.2 b {"time_ms":25,"host":"b","message":"item run ended","job":"j1","item":"i2"}
  3.3 b {"time_ms":99,"host":"b","message":"other","request":"r","lines_left_out":7}
"#;

#[test]
fn lines_of_all_hosts_are_in_order_of_time() {
    let timeline = Timeline::read("j1", vec![input(ONE), input(OTHER)]).unwrap();
    let texts: Vec<String> = timeline.lines.iter().map(ToString::to_string).collect();
    assert_eq!(texts.len(), 3);
    assert!(texts[0].starts_with("10 a"), "{}", texts[0]);
    assert!(texts[1].starts_with("25 b"), "{}", texts[1]);
    assert!(texts[2].ends_with("item=i1 job=j1 outcome=Slow"), "{}", texts[2]);
}

#[test]
fn lines_dropped_within_the_timeline_are_counted() {
    let timeline = Timeline::read("j1", vec![input(ONE), input(OTHER)]).unwrap();
    assert_eq!((timeline.dropped, timeline.unreadable), (4, 1));
}

#[test]
fn an_item_id_has_its_own_timeline() {
    assert_eq!(Timeline::read("i2", vec![input(ONE), input(OTHER)]).unwrap().lines.len(), 1);
}

#[test]
fn an_unknown_id_is_an_error() {
    assert_matches!(Timeline::read("none", vec![input(ONE)]), Err(Error::Unknown { .. }));
}
