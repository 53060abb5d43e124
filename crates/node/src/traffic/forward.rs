//! Forwarding of a stream that has begun, to its end or to where it breaks off.

use bytes::Bytes;
use http_body_util::BodyExt;
use log::{debug, info};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, timeout_at},
};

use crate::{
    clock,
    metrics::METERS,
    prelude::*,
    traffic::{
        connect::link_lost,
        event_body::Part,
        open::Open,
        silence::Silence,
        stream::{EVENT_TIMEOUT, Start, Stream},
        suspects,
    },
};

/// Delay before a stream tries again to read when the streams of all callers together hold too many bytes.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a stream does not go on at its target.
enum Break {
    Complete,
    Target(Box<str>),
    /// The connection to the target broke.
    Connection(Box<str>),
    CallerLeft,
    Deadline,
}

/// Forwards the events until the stream is complete or cannot go on.
pub(super) async fn forward(mut stream: Stream, mut open: Open, parts: mpsc::Sender<Part>) {
    loop {
        let from = stream.last_event.unwrap_or(0);
        let ended = forward_from(&mut stream, &mut open, &parts).await;
        end_visit(&mut open, stream.last_event, &ended);
        let reason = match ended {
            Break::Complete => {
                METERS.stream("complete");
                suspects::answered(&stream.traffic, || stream.call.content());
                // The caller may have left meanwhile.
                let _ = parts.send(Part::End).await;
                if !open.closes {
                    let channels = &stream.traffic.channels;
                    channels.put(open.target.address, open.channel, &open.answer);
                }
                return;
            }
            Break::CallerLeft => {
                METERS.stream("caller_left");
                debug!(request = &*stream.call.id, last_event = stream.last_event.unwrap_or(0); "caller left its stream");
                return;
            }
            Break::Deadline => "deadline passed".into(),
            Break::Target(reason) => reason,
            Break::Connection(reason) => {
                stream.connection_broke(&open.target, from).await;
                reason
            }
        };
        let broken_at = open.target.id.clone();
        drop(open);
        let next = tokio::select! {
            next = go_on(&mut stream, &broken_at) => next,
            () = parts.closed() => {
                METERS.stream("caller_left");
                return;
            }
        };
        info!(request = &*stream.call.id, target = &*broken_at, software = stream.software.as_deref().unwrap_or(""), last_event = stream.last_event.unwrap_or(0), reason = &*reason, next = next.as_ref().map_or("", |open| &*open.target.id); "stream broke");
        METERS.stream(if next.is_some() { "gone_on" } else { "broken_off" });
        match next {
            Some(next) => open = *next,
            // The body ends with an error, as its sender is dropped without an end.
            None => return,
        }
    }
}

/// Has a target followed that may still run the stream.
fn end_visit(open: &mut Open, last_event: Option<u64>, ended: &Break) {
    let Some(mut visit) = open.visit.take() else {
        return;
    };
    visit.reach(last_event.unwrap_or(0));
    match ended {
        Break::CallerLeft | Break::Deadline => drop(visit),
        Break::Complete | Break::Target(_) | Break::Connection(_) => visit.settle(),
    }
}

/// Goes on after the last event at another target.
async fn go_on(stream: &mut Stream, broken_at: &TargetId) -> Option<Box<Open>> {
    if !stream.resumable || Instant::now() >= stream.call.deadline {
        return None;
    }
    stream.broken_at.push(broken_at.clone());
    stream.tried.clear();
    match stream.open().await {
        Ok(Start::Begun(open)) => Some(open),
        Ok(Start::Whole(_)) | Err(_) => None,
    }
}

async fn forward_from(stream: &mut Stream, open: &mut Open, parts: &mpsc::Sender<Part>) -> Break {
    let mut event_at = Instant::now();
    let from = stream.last_event.unwrap_or(0);
    let silence = Silence::new(&stream.traffic);
    loop {
        match send_events(stream, open, parts).await {
            Ok(0) => {}
            Ok(_) => event_at = Instant::now(),
            Err(reason) => return reason,
        }
        if open.ended {
            return match open.parser.is_partial() {
                true => Break::Target("stream ended within an event".into()),
                false => Break::Complete,
            };
        }
        let by = stream.silent_at(event_at + EVENT_TIMEOUT);
        let (traffic, target) = (&stream.traffic, &open.target);
        let route = open.channel.route();
        let suspect = || stream.suspect(target, from);
        let frame = timeout_at(by, open.body.frame());
        tokio::select! {
            frame = silence.watch(by, suspect, frame) => match frame {
                Ok(Some(Ok(frame))) => {
                    traffic.links.heard(&target.id, clock::now());
                    open.parser.push(&frame.into_data().unwrap_or_default());
                }
                Ok(Some(Err(error))) if silence.has_ended() => {
                    return Break::Target(error.to_string().into());
                }
                Ok(Some(Err(error))) => return Break::Connection(error.to_string().into()),
                Ok(None) => open.ended = true,
                Err(_) if by >= stream.call.deadline => return Break::Deadline,
                Err(_) => return Break::Target("no event within the timeout".into()),
            },
            () = parts.closed() => return Break::CallerLeft,
            () = link_lost(traffic, route, &target.id, target.address), if stream.resumable => {
                silence.look(suspect());
                return Break::Target("the link to the target is lost".into());
            }
        }
    }
}

/// Sends the complete events that were read. Returns their number.
async fn send_events(
    stream: &mut Stream,
    open: &mut Open,
    parts: &mpsc::Sender<Part>,
) -> Result<u64, Break> {
    let mut sent = 0;
    loop {
        let (event, bytes) = match open.parser.next_raw() {
            Ok(Some(next)) => next,
            Ok(None) => {
                send_skipped(stream, open, parts).await?;
                return Ok(sent);
            }
            Err(error) => return Err(Break::Target(error.to_string().into())),
        };
        if stream.last_event.is_some_and(|last| !event.follows(last)) {
            return Err(Break::Target("events do not follow each other".into()));
        }
        // Beside the buffer, one event waits for the caller and one is being sent.
        let held = open.parser.buffered() + 2 * bytes.len();
        while !open.held.set(held) {
            if parts.is_closed() {
                return Err(Break::CallerLeft);
            }
            if Instant::now() >= stream.call.deadline {
                return Err(Break::Deadline);
            }
            sleep(BUDGET_RETRY_DELAY).await;
        }
        send(stream, bytes, parts).await?;
        stream.last_event = Some(event.id);
        sent += 1;
    }
}

/// Sends comments and the like, which no event follows yet.
async fn send_skipped(
    stream: &Stream,
    open: &mut Open,
    parts: &mpsc::Sender<Part>,
) -> Result<(), Break> {
    let skipped = open.parser.take_skipped();
    if skipped.is_empty() { Ok(()) } else { send(stream, skipped, parts).await }
}

async fn send(stream: &Stream, bytes: Bytes, parts: &mpsc::Sender<Part>) -> Result<(), Break> {
    match timeout_at(stream.call.deadline, parts.send(Part::Data(bytes))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(Break::CallerLeft),
        Err(_) => Err(Break::Deadline),
    }
}
