//! Timeline of one request, job, item or target, built from the log lines of all hosts.

use std::{collections::BTreeSet, fmt, io, io::BufRead};

use serde_json::{Map, Value};
use snafu::{ResultExt, Snafu};

/// Fields that hold the id of a request, job, item or target.
const ID_FIELDS: [&str; 5] = ["request", "job", "item", "target_id", "target"];
/// Field that holds what a target is asked to do, and fields that name the request or item that asks for it.
const CONTENT_FIELD: &str = "content";
const ASKING_FIELDS: [&str; 2] = ["request", "item"];
/// Fields that are not listed after the message: some are printed before it, the others are left out.
const HEADER_FIELDS: [&str; 6] =
    ["time_ms", "host", "message", "level", "module", "lines_left_out"];

/// Why there is no timeline.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("could not read log lines: {source}"))]
    Read { source: io::Error },
    #[snafu(display("could not find {id} in the log lines given"))]
    Unknown { id: Box<str> },
}

/// One log line.
#[derive(Clone, Debug)]
pub struct Line(Map<String, Value>);

impl Line {
    /// Parses a line. Text before the JSON object, such as the timestamp of a log collector, is ignored.
    pub fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        match serde_json::from_str(object.trim_end()) {
            Ok(Value::Object(fields)) => Some(Self(fields)),
            _ => None,
        }
    }

    fn text(&self, field: &str) -> &str {
        self.0.get(field).and_then(Value::as_str).unwrap_or_default()
    }

    fn time_ms(&self) -> u64 {
        self.0.get("time_ms").and_then(Value::as_u64).unwrap_or_default()
    }

    fn dropped(&self) -> u64 {
        self.0.get("lines_left_out").and_then(Value::as_u64).unwrap_or_default()
    }

    fn mentions(&self, id: &str) -> bool {
        ID_FIELDS.iter().any(|field| self.text(field) == id)
    }

    fn content(&self) -> Option<&str> {
        Some(self.text(CONTENT_FIELD)).filter(|content| !content.is_empty())
    }

    /// Whether the line is about a content, whichever request or item has it.
    fn is_about_content(&self) -> bool {
        self.content().is_some() && ASKING_FIELDS.iter().all(|field| self.text(field).is_empty())
    }

    pub fn json(&self) -> String {
        Value::Object(self.0.clone()).to_string()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {:<18} {}", self.time_ms(), self.text("host"), self.text("message"))?;
        for (name, value) in &self.0 {
            if HEADER_FIELDS.contains(&name.as_str()) {
                continue;
            }
            match value {
                Value::String(text) => write!(f, " {name}={text}")?,
                other => write!(f, " {name}={other}")?,
            }
        }
        Ok(())
    }
}

/// Log lines that mention an id, and those about the contents that these name.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Lines in order of time.
    pub lines: Vec<Line>,
    /// Number of lines that the hosts in the timeline dropped between its first and last line.
    pub dropped: u64,
    /// Number of input lines that could not be parsed.
    pub unreadable: usize,
}

impl Timeline {
    /// Reads log lines and keeps those that mention the id or a content of such a line.
    pub fn read(id: &str, inputs: Vec<Box<dyn BufRead>>) -> Result<Self, Error> {
        let (mut lines, mut gaps, mut unreadable) = (Vec::new(), Vec::new(), 0);
        let mut of_contents: Vec<Line> = Vec::new();
        for input in inputs {
            for text in input.lines() {
                let text = text.context(ReadSnafu)?;
                let Some(line) = Line::parse(&text) else {
                    unreadable += usize::from(!text.trim().is_empty());
                    continue;
                };
                if line.dropped() > 0 {
                    gaps.push((line.time_ms(), line.text("host").to_owned(), line.dropped()));
                }
                if line.mentions(id) {
                    lines.push(line);
                } else if line.is_about_content() {
                    of_contents.push(line);
                }
            }
        }
        let contents: BTreeSet<String> =
            lines.iter().filter_map(|line| Some(line.content()?.to_owned())).collect();
        let is_known = |line: &Line| line.content().is_some_and(|it| contents.contains(it));
        lines.extend(of_contents.into_iter().filter(is_known));
        lines.sort_by_key(Line::time_ms);
        let (Some(first), Some(last)) = (lines.first(), lines.last()) else {
            return UnknownSnafu { id }.fail();
        };
        let (from, to) = (first.time_ms(), last.time_ms());
        let hosts: BTreeSet<&str> = lines.iter().map(|line| line.text("host")).collect();
        let within = |time: u64, host: &str| (from..=to).contains(&time) && hosts.contains(host);
        let of_timeline = gaps.iter().filter(|(time, host, _)| within(*time, host));
        let dropped = of_timeline.map(|(_, _, count)| count).sum();
        Ok(Self { lines, dropped, unreadable })
    }
}
