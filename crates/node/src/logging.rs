//! Structured logging to standard output: one JSON object per line, with a limit on the lines per second.
//!
//! A separate thread writes the lines from a bounded queue, so that a stalled reader of the output never delays a
//! request. Lines over the limit, or for which the queue has no room, are dropped and counted.

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

/// Capacity of the queue to the writer thread.
const QUEUE_LINES: usize = 1024;
/// Limit on lines per second of level info and below; warnings and errors are exempt.
const INFO_LINES_PER_S_MAX: u64 = 200;

/// Longest time to write the queued lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Message to the writer thread.
enum Message {
    Line(Box<str>),
    Flush(SyncSender<()>),
}

static WRITER: OnceLock<SyncSender<Message>> = OnceLock::new();

/// Lines dropped since the last line that reported a number of dropped lines.
static DROPPED: AtomicU64 = AtomicU64::new(0);
/// Current second since the start of the process, and the lines counted in it.
static CURRENT_SECOND: AtomicU64 = AtomicU64::new(0);
static LINES_IN_SECOND: AtomicU64 = AtomicU64::new(0);

/// Installs the logger and starts the writer thread.
pub fn init(host: &str, level: log::LevelFilter) -> io::Result<()> {
    let (sender, receiver) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new().name("log".into()).spawn(move || {
        let mut out = io::stdout();
        for message in receiver {
            // Errors are ignored: a closed standard output must not end the process, and the receiver of a flush may
            // have timed out.
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
            if within_limit(record.level(), start) {
                write(&sender, &line(&host, record));
            }
        }))
        .apply()
        .map_err(io::Error::other)
}

/// Counts a line. Returns whether it is within the limit of lines per second.
fn within_limit(level: log::Level, start: Instant) -> bool {
    if level <= log::Level::Warn {
        return true;
    }
    let second = start.elapsed().as_secs();
    if CURRENT_SECOND.swap(second, Ordering::Relaxed) != second {
        LINES_IN_SECOND.store(0, Ordering::Relaxed);
    }
    if LINES_IN_SECOND.fetch_add(1, Ordering::Relaxed) < INFO_LINES_PER_S_MAX {
        return true;
    }
    DROPPED.fetch_add(1, Ordering::Relaxed);
    false
}

/// Waits until the queued lines are written, or until the timeout; called before the process ends.
pub fn flush() {
    let (done, written) = sync_channel(1);
    let sent = WRITER.get().is_some_and(|writer| writer.try_send(Message::Flush(done)).is_ok());
    if sent {
        // If standard output has no reader, the lines are lost.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write(sender: &SyncSender<Message>, line: &str) {
    if let Err(TrySendError::Full(_)) = sender.try_send(Message::Line(line.into())) {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

/// Formats a record as a JSON object on one line. The key-values of the record are fields beside the message.
pub fn line(host: &str, record: &log::Record) -> String {
    let mut object = serde_json::Map::new();
    object.insert("time_ms".into(), clock::unix_ms().into());
    object.insert("level".into(), record.level().as_str().into());
    object.insert("host".into(), host.into());
    object.insert("module".into(), record.target().into());
    object.insert("message".into(), record.args().to_string().into());
    let mut fields = Fields(&mut object);
    // Inserting into a map does not fail.
    let _ = record.key_values().visit(&mut fields);
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        object.insert("lines_left_out".into(), dropped.into());
    }
    let mut line = serde_json::Value::Object(object).to_string();
    line.push('\n');
    line
}

/// Collects the key-values of a record into a JSON object.
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

/// Duration in whole milliseconds, for log fields.
pub fn ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
