//! Stand-ins and checks of the review's cases: `review-2 CASE FOLDER`, run in the root of the repository.
//!
//! Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run. With `TROUBLE=0` the disruption is left
//! out.

mod base64;
mod cases;
mod desk;
mod engine;
mod http;
mod json;
mod kv;
mod node;
mod record;
mod trainer;

use std::{env, panic::catch_unwind, path::Path, process::exit};

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() {
    let mut arguments = env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-2 CASE FOLDER");
        exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&Path::new(&folder).join("record.txt"));
    record.line(format!("case {case}, trouble {trouble}"));
    let run: fn(bool, &Record) -> Verdict = match &*case {
        "encoded" => cases::encoded::run,
        "hints" => cases::hints::run,
        "line-feed" => cases::line_feed::run,
        "lost-watch" => cases::lost_watch::run,
        "same-ids" => cases::same_ids::run,
        "slow-readers" => cases::slow_readers::run,
        "turns" => cases::turns::run,
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    };
    // A stand-in that fails says nothing about the rule.
    let verdict = catch_unwind(|| run(trouble, &record)).unwrap_or(Verdict::NotRun);
    let (status, text) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::NotRun => (2, "the case could not run"),
    };
    record.line(text);
    println!("{text}");
    exit(status);
}
