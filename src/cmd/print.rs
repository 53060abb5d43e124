//! Output of the commands.

use std::io::Write;

use serde_json::Value;
use snafu::ResultExt;

use super::{Result, error};

/// Writes text to stdout and flushes it.
pub fn text(text: &str) -> Result<()> {
    let mut out = std::io::stdout().lock();
    out.write_all(text.as_bytes()).and_then(|()| out.flush()).context(error::PrintSnafu)
}

/// Writes one line to stdout.
pub fn line(line: &str) -> Result<()> {
    text(&format!("{line}\n"))
}

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Indented text and tables.
    Text,
    /// One JSON object per line.
    Json,
}

impl From<bool> for Format {
    fn from(json: bool) -> Self {
        if json { Self::Json } else { Self::Text }
    }
}

/// Writes a value in the given format.
pub fn value(value: &Value, format: Format) -> Result<()> {
    if format == Format::Json {
        return line(&value.to_string());
    }
    let mut lines = Vec::new();
    indented(value, 0, &mut lines);
    line(&lines.join("\n"))
}

/// Writes rows with aligned columns.
pub fn table(rows: &[Vec<String>]) -> Result<()> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width =
        |column: usize| rows.iter().filter_map(|row| row.get(column)).map(String::len).max();
    let widths: Vec<usize> = (0..columns).map(|column| width(column).unwrap_or(0)).collect();
    for row in rows {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        line(cells.join("  ").trim_end())?;
    }
    Ok(())
}

fn indented(value: &Value, depth: usize, lines: &mut Vec<String>) {
    let pad = "  ".repeat(depth);
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                if is_nested(value) {
                    lines.push(format!("{pad}{name}:"));
                    indented(value, depth + 1, lines);
                } else {
                    lines.push(format!("{pad}{name}: {}", plain(value)));
                }
            }
        }
        Value::Array(items) => {
            for item in items {
                let first = lines.len();
                indented(item, depth + 1, lines);
                // The dash takes the place of the item's own indentation.
                if let Some(line) = lines.get_mut(first) {
                    line.replace_range(..2 * (depth + 1), &format!("{pad}- "));
                }
            }
        }
        value => lines.push(format!("{pad}{}", plain(value))),
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(items) => !items.is_empty(),
        _ => false,
    }
}

fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
