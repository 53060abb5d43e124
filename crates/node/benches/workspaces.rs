//! Time to find the workspace of a key by the number of keys, with the digest of the key.
//!
//! `known`: a key of the directory. `unknown`: a key that differs from one of the directory in its last character.

use std::{hint::black_box, time::Duration};

use criterion::{Criterion, criterion_group, criterion_main};
use lagoonyard_node::workspace::{ApiKey, Bounds, Credential, Directory, Entry, admit};

const SIZES: [usize; 2] = [85, 100_000];
const KEYS_PER_WORKSPACE: usize = 5;
const BOUNDS: Bounds =
    Bounds { apply: Duration::from_secs(3), strict: Some(Duration::from_secs(5)) };

fn text(number: usize) -> String {
    format!("key-{number:032x}-a")
}

fn key(text: &str) -> ApiKey {
    ApiKey::try_from(text.as_bytes()).expect("key")
}

fn directory(keys: usize) -> Directory {
    let entries = (0..keys).step_by(KEYS_PER_WORKSPACE).map(|first| Entry {
        name: format!("team-{first}").into(),
        keys: (first..(first + KEYS_PER_WORKSPACE).min(keys)).map(|at| key(&text(at))).collect(),
        priority: Some(1),
    });
    Directory::new(entries).0
}

fn look_ups(c: &mut Criterion) {
    for size in SIZES {
        let all = directory(size);
        let known: Vec<String> = (0..size).map(text).collect();
        let unknown: Vec<String> = known.iter().map(|text| text.replace("-a", "-b")).collect();
        for (name, texts) in [("known", known), ("unknown", unknown)] {
            // Not in order, so that the look-ups do not follow each other in memory.
            let mut at = 0;
            c.bench_function(&format!("{name} among {size}"), |b| {
                b.iter(|| {
                    at = (at + 7_919) % size;
                    let credential = Credential::Key(key(black_box(&texts[at])));
                    black_box(admit(Some(&all), credential, Duration::ZERO, &BOUNDS).is_ok())
                });
            });
        }
    }
}

criterion_group!(benches, look_ups);
criterion_main!(benches);
