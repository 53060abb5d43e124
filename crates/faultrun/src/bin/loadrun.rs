//! Measures one entry host under load and many streams, and idle hosts. Everything runs on loopback and is bounded.

use std::{
    net::SocketAddr,
    process::ExitCode,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use clap::Parser;
use lagoonyard_faultrun::{
    Result,
    http::Request,
    yard::{MODEL, Plan, Yard},
};
use serde_json::json;
use snafu::ensure_whatever;

#[derive(Debug, Parser)]
struct Args {
    /// Requests of each measurement.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    requests: u32,
    /// Seconds over which idle hosts are observed.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(1..=60))]
    idle_s: u64,
}

/// Longest time of one measurement, whatever the number of requests.
const MEASURE_MAX: Duration = Duration::from_secs(20);
/// Open streams at which memory is read.
const STREAMS: [usize; 5] = [0, 100, 200, 400, 800];

/// Length of a sample whose memory is measured.
const SAMPLE_TOKENS: u32 = 64;

fn main() -> ExitCode {
    let args = Args::parse();
    match rates(args.requests)
        .and_then(|()| streams())
        .and_then(|()| samples())
        .and_then(|()| idle(args.idle_s))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("loadrun: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Requests a second and delays, through a host and straight to the target.
fn rates(requests: u32) -> Result<()> {
    let yard = Yard::start(Plan {
        hosts: 1,
        engines: 1,
        engine_arguments: vec!["--token-delay-ms", "0", "--prefill-ms", "0"],
        slots: 512,
        ..Plan::default()
    })?;
    let entry = yard.hosts[0].entry;
    let prompt = json!({"model": MODEL, "prompt": "A placard:", "max_tokens": 1});
    let completion = |address: SocketAddr| Request::post(address, "/v1/completions", &prompt);
    let kinds = [
        ("completion", completion(yard.engines[0].address), completion(entry)),
        (
            "call",
            Request::get(yard.services[0].address, "/register"),
            Request::get(entry, "/v1/services/entry-desk/register"),
        ),
    ];
    println!(
        "| request | at once | way | requests/s | p50 ms | p99 ms | added p50 ms | added p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (kind, direct, through) in &kinds {
        for at_once in [1, 4, 16, 64] {
            let (rate, near, far) = load(direct, at_once, requests)?;
            println!("| {kind} | {at_once} | direct | {rate:.0} | {near:.2} | {far:.2} | | |");
            let (rate, p50, p99) = load(through, at_once, requests)?;
            let (more, most) = (p50 - near, p99 - far);
            println!(
                "| {kind} | {at_once} | host | {rate:.0} | {p50:.2} | {p99:.2} | {more:.2} | {most:.2} |"
            );
        }
    }
    Ok(())
}

/// Sends requests from some threads and returns the rate, the median and the 99th percentile in milliseconds.
fn load(request: &Request, at_once: usize, requests: u32) -> Result<(f64, f64, f64)> {
    let left = AtomicUsize::new(requests as usize);
    let times = Mutex::new(Vec::new());
    let start = Instant::now();
    let sent: Result<()> = thread::scope(|scope| {
        let callers: Vec<_> = (0..at_once)
            .map(|_| {
                scope.spawn(|| {
                    let mut own = Vec::new();
                    let take = |it: usize| it.checked_sub(1);
                    while start.elapsed() < MEASURE_MAX
                        && left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take).is_ok()
                    {
                        let sent = Instant::now();
                        let answer = request.send()?;
                        ensure_whatever!(
                            answer.status == 200,
                            "{} {}",
                            answer.status,
                            answer.text()
                        );
                        own.push(sent.elapsed());
                    }
                    times.lock().unwrap_or_else(PoisonError::into_inner).extend(own);
                    Ok(())
                })
            })
            .collect();
        let mut ends = callers.into_iter().map(|it| it.join());
        ends.try_for_each(|it| it.unwrap_or_else(|_| snafu::whatever!("caller ended early")))
    });
    sent?;
    let took = start.elapsed().as_secs_f64();
    let mut times = times.into_inner().unwrap_or_else(PoisonError::into_inner);
    times.sort_unstable();
    ensure_whatever!(!times.is_empty(), "no request ended in time");
    let at = |percent: usize| times[(times.len() - 1) * percent / 100].as_secs_f64() * 1_000.0;
    Ok((times.len() as f64 / took, at(50), at(99)))
}

/// Memory of a host with open streams.
fn streams() -> Result<()> {
    let mut yard = Yard::start(Plan {
        hosts: 1,
        engines: 2,
        engine_arguments: vec!["--token-delay-ms", "200", "--prefill-ms", "0"],
        slots: 1024,
        ..Plan::default()
    })?;
    let entry = yard.hosts[0].entry;
    println!("\n| open streams | VmRSS KiB | KiB a stream |");
    println!("|---|---|---|");
    let mut empty = 0;
    for count in STREAMS {
        let ended = AtomicUsize::new(0);
        let rss = thread::scope(|scope| {
            for index in 0..count {
                let body = json!({"model": MODEL, "prompt": format!("lot {index}"), "max_tokens": 40, "stream": true});
                let ended = &ended;
                scope.spawn(move || {
                    let whole = Request::post(entry, "/v1/completions", &body).send();
                    if whole.is_ok_and(|it| it.status == 200) {
                        ended.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
            // All streams are open by then, and each lasts 8 s.
            thread::sleep(Duration::from_secs(4));
            yard.process(0)?.rss_kib()
        })?;
        let whole = ended.load(Ordering::Relaxed);
        ensure_whatever!(whole == count, "{whole} of {count} streams were answered");
        if count == 0 {
            empty = rss;
            println!("| 0 | {rss} | |");
        } else {
            let each = (rss as f64 - empty as f64) / count as f64;
            println!("| {count} | {rss} | {each:.1} |");
        }
    }
    Ok(())
}

/// Memory of a host that holds samples for a trainer that has pulled once.
fn samples() -> Result<()> {
    println!(
        "\n| samples of the offered batch | tokens each | VmRSS KiB before | after | KiB a sample of the batch |"
    );
    println!("|---|---|---|---|---|");
    for groups in [2, 100, 500] {
        let mut yard = Yard::start(Plan {
            hosts: 1,
            engines: 2,
            engine_arguments: vec!["--token-delay-ms", "0", "--prefill-ms", "0"],
            slots: 256,
            groups_per_step: groups,
            max_tokens: SAMPLE_TOKENS,
            ..Plan::default()
        })?;
        let before = yard.process(0)?.rss_kib()?;
        let pull = json!({"cursor": "", "version": 1, "wait_ms": 60_000});
        let answer = Request::post(yard.hosts[0].entry, "/v1/trainers/blurb/pull", &pull);
        let answer = answer.timeout(Duration::from_secs(70)).send()?;
        ensure_whatever!(answer.status == 200, "pull: {} {}", answer.status, answer.text());
        let batch = answer.json();
        let groups = batch["groups"].as_array().map(Vec::as_slice).unwrap_or_default();
        let count: usize =
            groups.iter().filter_map(|it| it["samples"].as_array()).map(Vec::len).sum();
        // Generation ahead ends by itself while the trainer rests.
        thread::sleep(Duration::from_secs(5));
        let after = yard.process(0)?.rss_kib()?;
        let each = (after as f64 - before as f64) / count.max(1) as f64;
        println!("| {count} | {SAMPLE_TOKENS} | {before} | {after} | {each:.2} |");
    }
    Ok(())
}

/// Processor time of idle hosts.
fn idle(seconds: u64) -> Result<()> {
    println!("\n| hosts in the zone | CPU of a host, % of a core, mean | most |");
    println!("|---|---|---|");
    for hosts in [2, 4, 8] {
        let mut yard = Yard::start(Plan {
            hosts,
            // Settings of the product, since the shorter ones of this program cost more.
            timings: json!({"poll_interval_ms": 1000, "listing_interval_ms": 2000,
                "suspect_after_ms": 5000, "dead_after_ms": 10000}),
            ..Plan::default()
        })?;
        // The trainer's samples are generated ahead and then rest, as nobody pulls.
        thread::sleep(Duration::from_secs(5));
        let mut before = Vec::new();
        for index in 0..hosts {
            before.push(yard.process(index)?.cpu_ticks()?);
        }
        let start = Instant::now();
        thread::sleep(Duration::from_secs(seconds));
        let took = start.elapsed().as_secs_f64();
        let mut shares = Vec::new();
        for (index, ticks) in before.iter().enumerate() {
            let used = yard.process(index)?.cpu_ticks()? - ticks;
            // A tick is 10 ms, so ticks a second are percent of a core.
            shares.push(used as f64 / took);
        }
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let most = shares.iter().copied().fold(0.0, f64::max);
        println!("| {hosts} | {mean:.2} | {most:.2} |");
    }
    Ok(())
}
