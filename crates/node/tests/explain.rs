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

const LEADER: &str = r#"
{"time_ms":40,"host":"a","message":"item is at no engine","job":"j1","item":"i1","content":"c1","reason":"held","waited_ms":2010}
{"time_ms":41,"host":"a","message":"item is at no engine","job":"j1","item":"i2","content":"c1","reason":"held","waited_ms":2010}
{"time_ms":42,"host":"a","message":"item is at no engine","job":"j1","item":"i1","content":"c1","reason":"run_in_progress","waited_ms":4010}
"#;
const RUNNER: &str = r#"
{"time_ms":31,"host":"b","message":"connection broke under a content","content":"c1","target_id":"t","finding":"ended"}
{"time_ms":32,"host":"b","message":"connection broke under a content","content":"c2","target_id":"t","finding":"ended"}
{"time_ms":33,"host":"b","message":"request refused: targets ended under its content","content":"c1","request":"r1"}
{"time_ms":43,"host":"b","message":"run reached no engine","job":"j1","item":"i1","target_id":"t","reason":"could not connect","took_ms":1500}
"#;

/// Guards against a timeline that does not tell why an item waited, or that has the lines of other items and requests.
#[test]
fn the_timeline_of_an_item_has_its_waits_and_what_is_known_of_its_content() {
    let timeline = Timeline::read("i1", vec![input(ONE), input(LEADER), input(RUNNER)]).unwrap();
    let texts: Vec<String> = timeline.lines.iter().map(ToString::to_string).collect();
    let times: Vec<&str> = texts.iter().filter_map(|text| text.split(' ').next()).collect();
    assert_eq!(times, ["30", "31", "40", "42", "43"], "{texts:?}");
    assert!(texts[2].contains("item is at no engine") && texts[2].contains("reason=held"));
    assert!(texts[4].contains("run reached no engine") && texts[4].contains("took_ms=1500"));
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
