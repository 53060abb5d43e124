//! Structured log lines on standard output: one JSON object a line, within a budget of lines a second.
//!
//! Lines go through a bounded queue to a thread of their own, so a reader that stops reading never delays a request.

use std::{
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{SyncSender, TrySendError, sync_channel},
    },
    time::Instant,
};

use crate::{clock, prelude::*};

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 1024;
/// Lines a second of level info; warnings and errors are not counted.
const INFO_LINES_PER_S: u64 = 200;

/// Longest wait for the lines that are left when the process ends.
const FLUSH_MAX: Duration = Duration::from_millis(100);

/// What goes to the writer's thread.
enum Message {
    Line(Box<str>),
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// Lines that were left out since the last one that was written.
static DROPPED: AtomicU64 = AtomicU64::new(0);
static WINDOW: AtomicU64 = AtomicU64::new(0);
static WRITTEN: AtomicU64 = AtomicU64::new(0);

/// Sends log lines to standard output.
pub fn init(host: &str, level: log::LevelFilter) -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || {
        let mut out = io::stdout();
        for message in receiver {
            // A closed standard output must not end the process; the lines are lost. Nobody may wait for a flush.
            let _ = match message {
                Message::Line(line) => out.write_all(line.as_bytes()),
                Message::Flush(done) => done.send(()).map_err(io::Error::other),
            };
        }
    })?;
    let _ = WRITER.set(sender.clone());
    let (host, start) = (Box::<str>::from(host), Instant::now());
    fern::Dispatch::new()
        .level(level)
        .chain(fern::Output::call(move |record| {
            if admitted(record.level(), start) {
                write(&sender, &line(&host, record));
            }
        }))
        .apply()
        .map_err(io::Error::other)
}

/// Whether a line is within the budget.
fn admitted(level: log::Level, start: Instant) -> bool {
    if level <= log::Level::Warn {
        return true;
    }
    let second = start.elapsed().as_secs();
    if WINDOW.swap(second, Ordering::Relaxed) != second {
        WRITTEN.store(0, Ordering::Relaxed);
    }
    if WRITTEN.fetch_add(1, Ordering::Relaxed) < INFO_LINES_PER_S {
        return true;
    }
    DROPPED.fetch_add(1, Ordering::Relaxed);
    false
}

/// Waits a moment until the lines so far are written, before the process ends.
pub fn flush() {
    let (done, written) = sync_channel(1);
    let sent = WRITER.get().is_some_and(|writer| writer.try_send(Message::Flush(done)).is_ok());
    if sent {
        // Without a reader the lines are lost, as at any other time.
        let _ = written.recv_timeout(FLUSH_MAX);
    }
}

fn write(sender: &SyncSender<Message>, line: &str) {
    if let Err(TrySendError::Full(_)) = sender.try_send(Message::Line(line.into())) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// A record as one JSON object. Fields of the record stand beside the message.
pub fn line(host: &str, record: &log::Record) -> String {
    let mut object = serde_json::Map::new();
    object.insert("time_ms".into(), clock::unix_ms().into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("host".into(), host.into());
    object.insert("module".into(), record.target().into());
    object.insert("message".into(), record.args().to_string().into());
    let mut fields = Fields(&mut object);
    // Collecting into a map does not fail.
    let _ = record.key_values().visit(&mut fields);
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        object.insert("lines_left_out".into(), dropped.into());
    }
    let mut line = serde_json::Value::Object(object).to_string();
    line.push('\n');
    line
}

struct Fields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_i64() {
            Some(number) => number.into(),
            None => value.to_string().into(),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Milliseconds as a log field.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
