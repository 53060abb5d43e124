//! Log lines with time in RFC 3339, level, host, module and message. Messages give ids and revisions as `key=value`.

use std::{
    io,
    time::{SystemTime, UNIX_EPOCH},
};

use crate::{prelude::*, settings::Log};

/// Installs the logger, which writes to the configured file or to standard error.
pub fn init(settings: &Log, host: &HostId) -> io::Result<()> {
    let host = host.clone();
    let dispatch = fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!(
                "{} {} {} {} {}",
                rfc3339(SystemTime::now()),
                record.level(),
                host,
                record.target(),
                message
            ));
        })
        .level(settings.level)
        // hyper and volo-http log each connection at debug level.
        .level_for("volo_http", settings.level.min(log::LevelFilter::Warn))
        .level_for("hyper", settings.level.min(log::LevelFilter::Warn));
    let dispatch = match &settings.file {
        Some(path) => dispatch.chain(fern::log_file(path)?),
        None => dispatch.chain(io::stderr()),
    };
    dispatch.apply().map_err(io::Error::other)
}

/// Formats a time in UTC with milliseconds, such as `2026-01-31T08:00:00.000Z`.
pub fn rfc3339(time: SystemTime) -> String {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, seconds) = (since.as_secs() / 86_400, since.as_secs() % 86_400);
    let (year, month, day) = date(days);
    format!(
        "{year:04}-{month:02}-{day:02}T{:02}:{:02}:{:02}.{:03}Z",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60,
        since.subsec_millis()
    )
}

/// Year, month and day of the month for a number of days since 1970-01-01.
fn date(mut days: u64) -> (u64, u64, u64) {
    let leap = |year: u64| {
        year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
    };
    let mut year = 1970;
    while days >= 365 + u64::from(leap(year)) {
        days -= 365 + u64::from(leap(year));
        year += 1;
    }
    let lengths = [31, 28 + u64::from(leap(year)), 31, 30, 31, 30, 31, 31, 30, 31, 30, 31];
    let mut month = 0;
    while days >= lengths[month] {
        days -= lengths[month];
        month += 1;
    }
    (year, month as u64 + 1, days + 1)
}
