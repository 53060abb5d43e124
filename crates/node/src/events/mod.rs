//! Server-sent events of a run: an incremental parser and the text accumulated from events.
//!
//! The format is `text/event-stream` of the HTML standard, section "Server-sent events". Lines end with CR LF, LF or CR,
//! an empty line ends a block, and the lines `data` of a block are joined by line feeds. Blocks that hold nothing of an
//! event, such as comments, are passed on but not read. Unlike in the format, a block without an id of its own and bytes
//! that are not UTF-8 are errors, as the text would lack something, and so is a block of unknown fields only.

mod error;
mod event;
mod line;
mod parser;
mod progress;

pub use error::Error;
pub use event::Event;
pub use parser::Parser;
pub use progress::Progress;
