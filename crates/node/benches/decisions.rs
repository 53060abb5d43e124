//! Time of a leader's decisions by the number of engines and of waiting items.
//!
//! `assign_full`: an attempt to start items while all slots are taken. `finish_and_start`: a run ends and the next item
//! starts in its slot. `place_by_prompt`: the same choice among open engines, without and with the prompts that they hold.

use std::{collections::BTreeMap, hint::black_box, sync::Arc, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use lagoonyard_node::{
    events::Progress,
    fleet::Target,
    job::{Assignment, End, Engines, Item, Job, Outcome, Policy, Queue, Record, Requirement, Spec},
    length::Hint,
    prefix::{Part, Prompt, Settings, Table, Work},
};

const SLOTS: u32 = 6;
const GROUP_SIZE: usize = 8;
/// Far enough for no item to be late.
const POLICY: Policy = Policy {
    config: 1,
    deadline_ms: 10_000_000,
    item_ttl_ms: 10_000_000,
    max_attempts: 1,
    priority: 0,
    single_version: false,
};

/// Engines, models with a job each, and items of each job.
const SIZES: [(usize, usize, usize); 4] =
    [(10, 1, 140), (77, 8, 150), (650, 20, 450), (6_500, 20, 4_000)];

fn item(id: String, at: usize) -> Arc<Item> {
    Arc::new(Item {
        id: id.into(),
        path: "/p/1".into(),
        headers: Vec::new(),
        body: bytes::Bytes::new(),
        max_total_tokens: 10,
        length_hint: Hint::try_from(1 + at as u64 % 90).ok(),
        prompt: Prompt::default(),
        group: format!("g{}", at / GROUP_SIZE).into(),
        judge: None,
    })
}

fn job(number: usize, items: usize) -> Job {
    let id: Box<str> = format!("j{number}").into();
    let items: Vec<_> = (0..items).map(|at| item(format!("{id}-{at}"), at)).collect();
    let record = Record {
        host: "h".into(),
        path: "/p/".into(),
        service: "llm".into(),
        submitted_ms: 0,
        total: items.len(),
        parts: 1,
        ended: false,
        policy: None,
        workspace: None,
    };
    let (model, groups_needed) = (format!("m{number}").into(), items.len() / GROUP_SIZE);
    let spec = Spec { id, step: 0, model, min_version: 1, groups_needed, items };
    Job::new(Arc::new(spec), record, POLICY, Duration::ZERO)
}

/// Engines with all slots taken, each with the current version of one model, and a queue with the rest of the items.
fn full(engines: usize, models: usize, items: usize) -> (Queue, Engines, Vec<Assignment>) {
    let (mut queue, mut all) = (Queue::default(), Engines::default());
    for number in 0..engines {
        let model = |at: usize| (format!("m{at}").into(), u64::from(at == number % models));
        all.put(Arc::new(Target {
            id: format!("e{number}").into(),
            service: "llm".into(),
            address: "127.0.0.1:1".parse().expect("address"),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            started_ms: 1,
            software: "v1".into(),
            versions: (0..models).map(model).collect::<BTreeMap<_, _>>(),
            spot: false,
            leaves_in: None,
        }));
    }
    for number in 0..models {
        queue.insert(job(number, items));
    }
    let now = Duration::from_secs(1);
    let running = std::iter::from_fn(|| queue.assign_next(now, &mut all)).collect();
    (queue, all, running)
}

fn stopped(run: &Assignment) -> Outcome {
    Outcome {
        run: 0,
        job: run.job.clone(),
        item: run.item,
        origin: run.origin.clone(),
        target: run.target.clone(),
        end: End::Stopped,
        progress: Progress::default(),
        text_complete: false,
        pace: Some(Duration::from_millis(80)),
        judge_failures: 0,
        holds_slot: true,
        connection_broke: false,
    }
}

fn decisions(criterion: &mut Criterion) {
    let now = Duration::from_secs(1);
    for (engines, models, items) in SIZES {
        let (mut queue, mut all, mut running) = full(engines, models, items);
        let size = format!("{engines} engines, {} waiting", models * items - running.len());
        criterion.bench_function(&format!("assign_full {size}"), |bench| {
            bench.iter(|| black_box(queue.assign_next(now, &mut all)));
        });
        let mut at = 0;
        criterion.bench_function(&format!("finish_and_start {size}"), |bench| {
            bench.iter(|| {
                at = (at + 1) % running.len();
                queue.finish_run(stopped(&running[at]), now, &mut all);
                running[at] = queue.assign_next(now, &mut all).expect("an item is waiting");
            });
        });
    }
}

fn work(prompt: &Prompt) -> Work<'_> {
    Work { prompt, max_total_tokens: 3_000, events: 50.0 }
}

/// Engines that each hold a part that all share and the prompts of their groups.
fn place_by_prompt(criterion: &mut Criterion) {
    const ENGINES: usize = 1_000;
    let prompt = |group: usize| -> Prompt {
        [Part::new("all", 500), Part::new(&format!("g{group}"), 1_500)].into_iter().collect()
    };
    let (_, mut engines, _) = full(ENGINES, 1, 0);
    engines.set_demand(&BTreeMap::from([("m0".into(), 0)]));
    let requirement = Requirement::new("m0", 0);
    criterion.bench_function("place without prompts, 1000 engines", |bench| {
        bench.iter(|| black_box(engines.choose(&requirement).expect("open")));
    });
    engines.enable_prefixes(Settings { tokens_per_ms: 10.0 });
    let mut table = Table::new(Settings { tokens_per_ms: 10.0 });
    let (model, now) = ("m0".into(), Duration::from_secs(1));
    for group in 0..ENGINES * 32 {
        let id = format!("e{}", group % ENGINES).into();
        engines.record_prompt(&id, &model, &work(&prompt(group)));
        table.begin_run(&id, &model, &work(&prompt(group)), now);
    }
    let mut group = 0;
    criterion.bench_function("place by prompt, 1000 engines", |bench| {
        bench.iter(|| {
            group = (group + 7) % (2 * ENGINES * 32);
            let prompt = prompt(group);
            let requirement = Requirement { work: Some(work(&prompt)), ..requirement };
            black_box(engines.choose(&requirement).expect("open"));
        });
    });
    criterion.bench_function("record a prompt, 1000 engines", |bench| {
        bench.iter(|| {
            group = (group + 7) % (2 * ENGINES * 32);
            let id = format!("e{}", group % ENGINES).into();
            table.begin_run(&id, &model, &work(&prompt(group)), now);
            table.end_run(&id);
        });
    });
}

criterion_group!(benches, decisions, place_by_prompt);
criterion_main!(benches);
