//! Cases of the review that are scripts: `lagoonyard-review CASE RECORD`, started by `run.sh` in the project's root.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cluster;
mod engine;
mod failed_item;
mod http;
mod json;
mod kv;
mod link;
mod new_route;
mod next_event;
mod random;
mod record;
mod refusal;
mod silent_crash;
mod stale_leader;
mod trainer;

use record::Record;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (case, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let record = Record::create(&path);
    let run: fn(&Record, bool) -> Verdict = match &*case {
        "refusal" => refusal::run,
        "new-route" => new_route::run,
        "next-event" => next_event::run,
        "silent-crash" => silent_crash::run,
        "failed-item" => failed_item::run,
        "stale-leader" => stale_leader::run,
        _ => |_, _| cluster::unable("no such case"),
    };
    let verdict = std::panic::catch_unwind(|| run(&record, !trouble));
    std::process::exit(match verdict {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(_) => 2,
    });
}
