//! Measures entry hosts on loopback and prints the results as Markdown tables: rate and latency of requests compared
//! with direct ones to the target, memory of a host with open streams and with samples, and CPU use of idle hosts.

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
    cluster::{Cluster, MODEL, Plan},
    http::Request,
};
use serde_json::json;
use snafu::ensure_whatever;

#[derive(Debug, Parser)]
struct Args {
    /// Number of requests of each rate measurement.
    #[arg(long, default_value_t = 4_000, value_parser = clap::value_parser!(u32).range(1..=20_000))]
    requests: u32,
    /// Seconds for which the CPU use of idle hosts is measured.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(1..=60))]
    idle_s: u64,
}

/// Limit on the time of one rate measurement, whatever the number of requests.
const MEASUREMENT_MAX: Duration = Duration::from_secs(20);
/// Numbers of open streams for which memory is measured.
const STREAM_COUNTS: [usize; 5] = [0, 100, 200, 400, 800];

const SAMPLE_TOKENS: u32 = 64;

fn main() -> ExitCode {
    let args = Args::parse();
    match measure_rates(args.requests)
        .and_then(|()| measure_streams())
        .and_then(|()| measure_samples())
        .and_then(|()| measure_idle(args.idle_s))
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("loadrun: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Measures the rate and latency of requests through a host and directly to the target.
fn measure_rates(requests: u32) -> Result<()> {
    let cluster = Cluster::start(Plan {
        hosts: 1,
        engines: 1,
        engine_arguments: vec!["--token-delay-ms", "0", "--prefill-ms", "0"],
        slots: 512,
        ..Plan::default()
    })?;
    let entry = cluster.hosts[0].entry;
    let prompt = json!({"model": MODEL, "prompt": "A placard:", "max_tokens": 1});
    let completion = |address: SocketAddr| Request::post(address, "/v1/completions", &prompt);
    let kinds = [
        ("completion", completion(cluster.engines[0].address), completion(entry)),
        (
            "call",
            Request::get(cluster.services[0].address, "/register"),
            Request::get(entry, "/v1/services/entry-desk/register"),
        ),
    ];
    println!(
        "| request | concurrency | path | requests/s | p50 ms | p99 ms | added p50 ms | added p99 ms |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for (kind, direct, via_host) in &kinds {
        for concurrency in [1, 4, 16, 64] {
            let (rate, direct_p50, direct_p99) = measure_load(direct, concurrency, requests)?;
            println!(
                "| {kind} | {concurrency} | direct | {rate:.0} | {direct_p50:.2} | {direct_p99:.2} | | |"
            );
            let (rate, p50, p99) = measure_load(via_host, concurrency, requests)?;
            let (added_p50, added_p99) = (p50 - direct_p50, p99 - direct_p99);
            println!(
                "| {kind} | {concurrency} | host | {rate:.0} | {p50:.2} | {p99:.2} | {added_p50:.2} | {added_p99:.2} |"
            );
        }
    }
    Ok(())
}

/// Sends a request repeatedly from concurrent threads and returns the rate per second and the median and 99th
/// percentile of the latency in milliseconds.
fn measure_load(request: &Request, concurrency: usize, requests: u32) -> Result<(f64, f64, f64)> {
    let remaining = AtomicUsize::new(requests as usize);
    let latencies = Mutex::new(Vec::new());
    let start = Instant::now();
    let sent: Result<()> = thread::scope(|scope| {
        let callers: Vec<_> = (0..concurrency)
            .map(|_| {
                scope.spawn(|| {
                    let mut thread_latencies = Vec::new();
                    let decrement = |it: usize| it.checked_sub(1);
                    while start.elapsed() < MEASUREMENT_MAX
                        && remaining
                            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
                            .is_ok()
                    {
                        let sent = Instant::now();
                        let response = request.send()?;
                        ensure_whatever!(
                            response.status == 200,
                            "request failed: {} {}",
                            response.status,
                            response.text()
                        );
                        thread_latencies.push(sent.elapsed());
                    }
                    latencies
                        .lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .extend(thread_latencies);
                    Ok(())
                })
            })
            .collect();
        let mut ends = callers.into_iter().map(|it| it.join());
        ends.try_for_each(|it| it.unwrap_or_else(|_| snafu::whatever!("calling thread panicked")))
    });
    sent?;
    let elapsed = start.elapsed().as_secs_f64();
    let mut latencies = latencies.into_inner().unwrap_or_else(PoisonError::into_inner);
    latencies.sort_unstable();
    ensure_whatever!(!latencies.is_empty(), "no request was completed within {MEASUREMENT_MAX:?}");
    let percentile =
        |percent: usize| latencies[(latencies.len() - 1) * percent / 100].as_secs_f64() * 1_000.0;
    Ok((latencies.len() as f64 / elapsed, percentile(50), percentile(99)))
}

/// Measures the memory of a host with open streams.
fn measure_streams() -> Result<()> {
    let mut cluster = Cluster::start(Plan {
        hosts: 1,
        engines: 2,
        engine_arguments: vec!["--token-delay-ms", "200", "--prefill-ms", "0"],
        slots: 1024,
        ..Plan::default()
    })?;
    let entry = cluster.hosts[0].entry;
    println!("\n| open streams | VmRSS KiB | KiB per stream |");
    println!("|---|---|---|");
    let mut baseline = 0;
    for count in STREAM_COUNTS {
        let completed = AtomicUsize::new(0);
        let rss = thread::scope(|scope| {
            for index in 0..count {
                let body = json!({"model": MODEL, "prompt": format!("lot {index}"), "max_tokens": 40, "stream": true});
                let completed = &completed;
                scope.spawn(move || {
                    let result = Request::post(entry, "/v1/completions", &body).send();
                    if result.is_ok_and(|it| it.status == 200) {
                        completed.fetch_add(1, Ordering::Relaxed);
                    }
                });
            }
            // By then all streams are open and none has ended, as each lasts 8 s.
            thread::sleep(Duration::from_secs(4));
            cluster.process(0)?.rss_kib()
        })?;
        let completed = completed.load(Ordering::Relaxed);
        ensure_whatever!(completed == count, "{completed} of {count} streams were answered");
        if count == 0 {
            baseline = rss;
            println!("| 0 | {rss} | |");
        } else {
            let each = (rss as f64 - baseline as f64) / count as f64;
            println!("| {count} | {rss} | {each:.1} |");
        }
    }
    Ok(())
}

/// Measures the memory of a host that holds the samples of a trainer which has pulled once.
fn measure_samples() -> Result<()> {
    println!(
        "\n| samples of the offered batch | tokens each | VmRSS KiB before | after | KiB per sample of the batch |"
    );
    println!("|---|---|---|---|---|");
    for groups in [2, 100, 500] {
        let mut cluster = Cluster::start(Plan {
            hosts: 1,
            engines: 2,
            engine_arguments: vec!["--token-delay-ms", "0", "--prefill-ms", "0"],
            slots: 256,
            groups_per_step: groups,
            max_tokens: SAMPLE_TOKENS,
            ..Plan::default()
        })?;
        let before = cluster.process(0)?.rss_kib()?;
        let pull = json!({"cursor": "", "version": 1, "wait_ms": 60_000});
        let response = Request::post(cluster.hosts[0].entry, "/v1/trainers/blurb/pull", &pull);
        let response = response.timeout(Duration::from_secs(70)).send()?;
        ensure_whatever!(
            response.status == 200,
            "pull failed: {} {}",
            response.status,
            response.text()
        );
        let batch = response.json();
        let groups = batch["groups"].as_array().map(Vec::as_slice).unwrap_or_default();
        let count: usize =
            groups.iter().filter_map(|it| it["samples"].as_array()).map(Vec::len).sum();
        // Generation ahead of the trainer stops at its bound while the trainer does not pull.
        thread::sleep(Duration::from_secs(5));
        let after = cluster.process(0)?.rss_kib()?;
        let each = (after as f64 - before as f64) / count.max(1) as f64;
        println!("| {count} | {SAMPLE_TOKENS} | {before} | {after} | {each:.2} |");
    }
    Ok(())
}

/// Measures the CPU use of idle hosts.
fn measure_idle(seconds: u64) -> Result<()> {
    println!("\n| hosts in the zone | CPU per host, % of a core, mean | maximum |");
    println!("|---|---|---|");
    for hosts in [2, 4, 8] {
        let mut cluster = Cluster::start(Plan {
            hosts,
            // Default settings of the hosts; the shorter intervals of `Cluster` take more CPU time.
            timings: json!({"poll_interval_ms": 1000, "listing_interval_ms": 2000,
                "suspect_after_ms": 5000, "dead_after_ms": 10000}),
            ..Plan::default()
        })?;
        // Generation ahead of the trainer stops at its bound, as no trainer pulls.
        thread::sleep(Duration::from_secs(5));
        let mut before = Vec::new();
        for index in 0..hosts {
            before.push(cluster.process(index)?.cpu_ticks()?);
        }
        let start = Instant::now();
        thread::sleep(Duration::from_secs(seconds));
        let elapsed = start.elapsed().as_secs_f64();
        let mut shares = Vec::new();
        for (index, ticks) in before.iter().enumerate() {
            let used = cluster.process(index)?.cpu_ticks()? - ticks;
            // A tick is 10 ms, so ticks per second are percent of a core.
            shares.push(used as f64 / elapsed);
        }
        let mean = shares.iter().sum::<f64>() / shares.len() as f64;
        let maximum = shares.iter().copied().fold(0.0, f64::max);
        println!("| {hosts} | {mean:.2} | {maximum:.2} |");
    }
    Ok(())
}
