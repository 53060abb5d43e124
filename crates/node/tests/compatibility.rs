//! Messages and stored values of earlier builds, and what earlier builds read of those of this one.

mod samples;

use std::{fs, path::PathBuf};

use lagoonyard_node::peer::{
    Ended, FailedItems, FailuresRequest, FromRunner, Kind, News, Notice, Request, RunItem, Strike,
    Suspect, SuspectsRequest, TextPart, Trial, Tunnel,
};
use prost::Message;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::Value;

/// Folders with the samples of earlier builds, by commit.
fn folders() -> Vec<PathBuf> {
    let all = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/samples/files");
    let folders: Vec<PathBuf> =
        fs::read_dir(all).unwrap().map(|entry| entry.unwrap().path()).collect();
    assert!(!folders.is_empty());
    folders
}

/// Guards against a tag that is used again, a type that changes and a field that goes: what an earlier build wrote is read
/// whole, and the same value is written as it was.
#[test]
fn values_of_earlier_builds_are_read_whole_and_written_the_same() {
    for folder in folders() {
        for sample in samples::samples() {
            let Ok(old) = fs::read(folder.join(sample.name)) else {
                continue;
            };
            let place = format!("{} {}", folder.display(), sample.name);
            assert_eq!((sample.again)(&old), Some(old.clone()), "{place}: read");
            assert_eq!(sample.bytes, old, "{place}: written");
        }
    }
}

/// Guards against a sample that no longer exists, so that its file is compared with nothing.
#[test]
fn each_file_has_a_sample() {
    let names: Vec<&str> = samples::samples().iter().map(|sample| sample.name).collect();
    for folder in folders() {
        for entry in fs::read_dir(&folder).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            assert!(names.contains(&&*name), "{name}");
        }
    }
}

/// Guards against a message of a later build that this one cannot read: fields that it does not know are skipped.
#[test]
fn fields_of_later_builds_are_skipped() {
    for sample in samples::samples() {
        let mut later = sample.bytes.clone();
        if serde_json::from_slice::<Value>(&later).is_ok_and(|value| value.is_object()) {
            let text = String::from_utf8(later).unwrap();
            let added = text.replacen('{', "{\"added_later\":[1,{\"a\":2}],", 1);
            let known: Value = serde_json::from_slice(&sample.bytes).unwrap();
            let again = (sample.again)(added.as_bytes()).expect(sample.name);
            assert_eq!(serde_json::from_slice::<Value>(&again).unwrap(), known, "{}", sample.name);
            continue;
        }
        if later.first() == Some(&b'[') {
            continue;
        }
        // Field 1000, a string.
        later.extend([0xc2, 0x3e, 3, b'n', b'e', b'w']);
        assert_eq!((sample.again)(&later), Some(sample.bytes), "{}", sample.name);
    }
}

/// Guards against a value that a build cannot read as a field is missing which not all builds write. A stored value then has to
/// fail by itself, without a panic.
#[test]
fn values_with_missing_fields_cause_no_panic() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        for sample in samples::samples() {
            let mut value = match serde_json::from_slice::<Value>(&sample.bytes) {
                Ok(value) if value.is_object() => value,
                _ => {
                    let end = random.random_range(0..=sample.bytes.len());
                    let _ = (sample.again)(&sample.bytes[..end]);
                    continue;
                }
            };
            let fields = value.as_object_mut().unwrap();
            fields.retain(|_, _| random.random_bool(0.7));
            let _ = (sample.again)(value.to_string().as_bytes());
        }
    }
}

/// Messages as 1f30504 writes them, where this build has removed fields.
mod removed {
    use lagoonyard_node::peer::TextPart;

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Strike {
        #[prost(string, tag = "1")]
        pub target: String,
        #[prost(uint64, tag = "2")]
        pub started_ms: u64,
        #[prost(uint64, tag = "3")]
        pub age_ms: u64,
        #[prost(uint64, tag = "4")]
        pub ran_ms: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Suspect {
        #[prost(bytes = "vec", tag = "1")]
        pub content: Vec<u8>,
        #[prost(uint64, tag = "2")]
        pub clears: u64,
        #[prost(uint64, tag = "3")]
        pub furthest: u64,
        #[prost(message, repeated, tag = "4")]
        pub strikes: Vec<Strike>,
        #[prost(uint32, tag = "5")]
        pub passes: u32,
        #[prost(message, repeated, tag = "6")]
        pub passed: Vec<Strike>,
        #[prost(uint64, tag = "7")]
        pub others: u64,
        #[prost(uint64, tag = "8")]
        pub time_ms: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Ended {
        #[prost(message, optional, tag = "1")]
        pub part: Option<TextPart>,
        #[prost(int32, tag = "2")]
        pub end: i32,
        #[prost(uint64, optional, tag = "8")]
        pub ended_instance: Option<u64>,
        #[prost(uint64, tag = "9")]
        pub ran_ms: u64,
    }
}

/// Guards against runners and strikes of 1f30504 that are not understood, as their fields about the ends of items are gone, and
/// against a later use of these tags.
#[test]
fn fields_about_the_ends_of_items_are_skipped() {
    let part = Some(TextPart { run: 7, last_event: 3, ..TextPart::default() });
    let ended = removed::Ended { part: part.clone(), end: 5, ended_instance: Some(1), ran_ms: 11 };
    let read = Ended::decode(&*ended.encode_to_vec()).unwrap();
    assert_eq!(read, Ended { part, end: 5, ..Ended::default() });
    // The runner of 1f30504 tells of a broken run, the leader of 1f30504 hears of no end that it would count.
    let again = removed::Ended::decode(&*Ended { connection_broke: true, ..read }.encode_to_vec());
    assert_eq!(again.unwrap().ended_instance, None);
    let strike = removed::Strike { target: "i-1".into(), started_ms: 5, age_ms: 6, ran_ms: 9 };
    let strikes = vec![strike];
    let suspect = removed::Suspect {
        content: vec![1; 16],
        clears: 2,
        furthest: 3,
        passed: strikes.clone(),
        strikes,
        passes: 1,
        others: 4,
        time_ms: 5,
    };
    let known = vec![Strike { target: "i-1".into(), started_ms: 5, age_ms: 6 }];
    let expected = Suspect {
        content: vec![1; 16],
        clears: 2,
        furthest: 3,
        passed: known.clone(),
        strikes: known,
        passes: 1,
    };
    assert_eq!(Suspect::decode(&*suspect.encode_to_vec()).unwrap(), expected);
}

/// Messages as 6c51fe5 knows them, where this build has added to them.
mod old {
    use lagoonyard_node::peer::{Departure, Limit, TextPart};

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Notice {
        #[prost(message, repeated, tag = "1")]
        pub limits: Vec<Limit>,
        #[prost(bool, tag = "2")]
        pub forward: bool,
        #[prost(message, repeated, tag = "3")]
        pub departures: Vec<Departure>,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Tunnel {
        #[prost(string, tag = "1")]
        pub target: String,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Ended {
        #[prost(message, optional, tag = "1")]
        pub part: Option<TextPart>,
        #[prost(int32, tag = "2")]
        pub end: i32,
        #[prost(bool, tag = "7")]
        pub holds_slot: bool,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct RunItem {
        #[prost(uint64, tag = "1")]
        pub run: u64,
    }

    #[derive(Clone, PartialEq, prost::Message)]
    pub struct Request {
        #[prost(oneof = "Kind", tags = "8, 10")]
        pub kind: Option<Kind>,
    }

    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Kind {
        #[prost(message, tag = "8")]
        Notice(Notice),
        #[prost(message, tag = "10")]
        Tunnel(Tunnel),
    }
}

/// Guards against news that a host of 6c51fe5 cannot read, and against requests that it would answer for another one.
#[test]
fn additions_are_skipped_by_6c51fe5() {
    let request = |kind| Request { kind: Some(kind) }.encode_to_vec();
    let strikes = vec![Strike { target: "i-1".into(), started_ms: 5, age_ms: 6 }];
    let passed = vec![Strike { target: "i-2".into(), started_ms: 7, age_ms: 8 }];
    let suspect =
        Suspect { content: vec![1; 16], clears: 2, furthest: 3, strikes, passes: 1, passed };
    let notice = Notice { forward: true, suspects: vec![suspect.clone()], ..Notice::default() };
    let read = old::Request::decode(&*request(Kind::Notice(notice))).unwrap();
    let expected = old::Notice { forward: true, ..old::Notice::default() };
    assert_eq!(read.kind, Some(old::Kind::Notice(expected)));
    let tunnel = Tunnel { target: "i-1".into(), probe: true, started_ms: 5 };
    let read = old::Request::decode(&*request(Kind::Tunnel(tunnel))).unwrap();
    assert_eq!(read.kind, Some(old::Kind::Tunnel(old::Tunnel { target: "i-1".into() })));
    // A request without a kind is answered as not served, at once.
    let trial = Kind::Trial(Trial { suspect: Some(suspect) });
    let failures = Kind::Failures(FailuresRequest {});
    let failed = Kind::Failed(FailedItems::default());
    for kind in [Kind::Suspects(SuspectsRequest {}), trial, failures, failed] {
        assert_eq!(old::Request::decode(&*request(kind)).unwrap().kind, None);
    }
    let part = Some(TextPart { run: 7, ..TextPart::default() });
    let ended = Ended { part: part.clone(), end: 5, connection_broke: true, ..Ended::default() };
    let news = FromRunner { news: Some(News::Ended(Box::new(ended.clone()))) };
    assert!(FromRunner::decode(&*news.encode_to_vec()).is_ok());
    let read = old::Ended::decode(&*ended.encode_to_vec()).unwrap();
    assert_eq!(read, old::Ended { part, end: 5, holds_slot: false });
}

/// Guards against an item that a runner of 6c51fe5 does not run since its earlier failures are named.
#[test]
fn failures_of_a_run_are_skipped_by_6c51fe5() {
    let run = RunItem { run: 7, failures: 2, ..RunItem::default() };
    let read = old::RunItem::decode(&*run.encode_to_vec()).unwrap();
    assert_eq!(read, old::RunItem { run: 7 });
}
