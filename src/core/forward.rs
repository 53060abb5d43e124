//! Requests passed on to the host that must decide them.

use std::collections::{BTreeMap, BTreeSet};

use prost::Message;

use crate::{
    core::{
        World, host,
        parts::{self, Assembler, Progress as Joined},
        peer,
        request::{self, Answer, Generate, Incoming, Output, Response, Segment, Text, Work},
        stream,
    },
    prelude::*,
    wire,
};

/// Bit that marks the ticket of a request that came from a peer.
pub const FROM_PEER: Ticket = 1 << 63;

/// How long a reply may come after the request's own deadline, for the way back.
pub const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Room that a frame keeps for the message around its content.
const FRAME_MARGIN_BYTES: usize = 1024;

/// A request passed on.
#[derive(Debug)]
struct Sent {
    to: HostId,
    ticket: Ticket,
    deadline: Time,
    pull: bool,
    parts: Assembler,
}

/// A request taken from a peer.
#[derive(Debug)]
struct Taken {
    from: HostId,
    id: u64,
}

/// Requests passed on and taken.
#[derive(Debug, Default)]
pub struct Table {
    sent: BTreeMap<u64, Sent>,
    by_ticket: BTreeMap<Ticket, u64>,
    deadlines: BTreeSet<(Time, u64)>,
    taken: BTreeMap<Ticket, Taken>,
    last_sent: u64,
    last_taken: Ticket,
}

impl Table {
    /// Whether nothing is under way.
    pub fn is_idle(&self) -> bool {
        self.sent.is_empty() && self.taken.is_empty()
    }

    /// Earliest deadline.
    pub fn wake(&self) -> Option<Time> {
        self.deadlines.first().map(|(time, _)| *time)
    }

    /// Drops the ticket of a caller that is gone; tells whether its request was passed on.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let id = self.by_ticket.get(&ticket).copied();
        id.and_then(|id| self.close(id)).is_some()
    }

    fn close(&mut self, id: u64) -> Option<Sent> {
        let sent = self.sent.remove(&id)?;
        self.by_ticket.remove(&sent.ticket);
        self.deadlines.remove(&(sent.deadline, id));
        Some(sent)
    }
}

/// Passes a request on; the ticket is answered by the reply, or with `OutcomeUnknown` when none comes by the deadline.
pub fn send(world: &mut World, to: &HostId, ask: wire::Ask, ticket: Ticket, deadline: Time) {
    let pull = matches!(ask, wire::Ask::Pull(_));
    let reachable = world.hosts.rows.get(to).is_some_and(|row| row.state != host::State::Dead);
    if !reachable {
        return fail(
            world,
            ticket,
            pull,
            Code::OutcomeUnknown,
            "the host that must decide is not reachable",
        );
    }
    let table = &mut world.forwards;
    table.last_sent += 1;
    let id = table.last_sent;
    let forward = wire::Forward { id, ask: Some(ask) };
    if forward.encoded_len() + FRAME_MARGIN_BYTES > wire::FRAME_MAX_BYTES {
        return fail(world, ticket, pull, Code::TooLarge, "request is too large to be passed on");
    }
    let to = to.clone();
    let body = wire::Body::Forward(forward);
    table
        .sent
        .insert(id, Sent { to: to.clone(), ticket, deadline, pull, parts: Assembler::default() });
    table.by_ticket.insert(ticket, id);
    table.deadlines.insert((deadline, id));
    peer::send(world, &to, body);
}

/// Takes a request that a peer passed on.
pub fn input(world: &mut World, from: &HostId, forward: wire::Forward) {
    let table = &mut world.forwards;
    table.last_taken += 1;
    let ticket = FROM_PEER | table.last_taken;
    let from = from.clone();
    table.taken.insert(ticket, Taken { from, id: forward.id });
    match forward.ask {
        Some(wire::Ask::Call(call)) => {
            let deadline = Some(Duration::from_millis(call.deadline_ms));
            let key = Some(call.key.as_str().into());
            let work = work(call);
            let incoming = Incoming { work, key, deadline };
            request::input(world, request::Event::Submit { ticket, incoming });
        }
        Some(wire::Ask::Pull(pull)) => stream::forwarded(world, ticket, pull),
        None => answer(world, ticket, &Answer::error(Code::RequestMalformed)),
    }
}

/// Takes the reply to a request passed on.
pub fn reply(world: &mut World, from: &HostId, mut reply: wire::Reply) {
    let Some(sent) = world.forwards.sent.get_mut(&reply.id).filter(|sent| sent.to == *from) else {
        return;
    };
    if let Some(wire::Done::Batch(part)) = reply.done {
        reply.done = match sent.parts.add(part) {
            Joined::Incomplete => return,
            Joined::Complete(batch) => Some(wire::Done::Batch(batch)),
            Joined::Invalid => None,
        };
    }
    let Some(sent) = world.forwards.close(reply.id) else {
        return;
    };
    let code = u16::try_from(reply.code).ok().and_then(Code::from_number);
    match (sent.pull, code, reply.done) {
        (false, None, Some(wire::Done::Response(done))) => {
            let response = Response {
                status: done.status as u16,
                content_type: done.content_type.into(),
                body: done.body,
            };
            request::answer(world, sent.ticket, Answer::Done(Output::Response(response)));
        }
        (false, None, Some(wire::Done::Text(done))) => {
            request::answer(world, sent.ticket, Answer::Done(Output::Text(text_in(done))));
        }
        (true, None, Some(wire::Done::Batch(done))) => {
            stream::answer(world, sent.ticket, batch_in(done));
        }
        (pull, Some(code), _) => fail(world, sent.ticket, pull, code, &reply.message),
        (pull, ..) => {
            fail(world, sent.ticket, pull, Code::OutcomeUnknown, "the reply could not be read");
        }
    }
}

/// Settles what was passed on to a host whose link broke; it may or may not have arrived.
pub fn link_lost(world: &mut World, to: &HostId) {
    let ids: Vec<u64> =
        world.forwards.sent.iter().filter(|(_, sent)| sent.to == *to).map(|(id, _)| *id).collect();
    for id in ids {
        end_unknown(world, id, "the link to the deciding host broke");
    }
}

/// Answers what has waited past its deadline.
pub fn run(world: &mut World) {
    while let Some(&(time, id)) = world.forwards.deadlines.first()
        && time <= world.now
    {
        world.forwards.deadlines.pop_first();
        end_unknown(world, id, "the deciding host did not answer in time");
    }
}

fn end_unknown(world: &mut World, id: u64, message: &str) {
    if let Some(sent) = world.forwards.close(id) {
        fail(world, sent.ticket, sent.pull, Code::OutcomeUnknown, message);
    }
}

/// Sends the answer of a request that came from a peer.
pub fn answer(world: &mut World, ticket: Ticket, answer: &Answer) {
    let (code, message, done) = match answer {
        Answer::Done(Output::Response(response)) => {
            (None, "", Some(wire::Done::Response(response_out(response))))
        }
        Answer::Done(Output::Text(text)) => (None, "", Some(wire::Done::Text(text_out(text)))),
        Answer::Error { code, message } => (Some(*code), &**message, None),
    };
    send_reply(world, ticket, code, message, done);
}

/// Sends the answer of a pull that came from a peer.
pub fn answer_pull(world: &mut World, ticket: Ticket, answer: &stream::Answer) {
    match answer {
        stream::Answer::Error { code, message } => {
            send_reply(world, ticket, Some(*code), message, None);
        }
        stream::Answer::Batch { cursor, version, groups } => {
            let batch = wire::Batch {
                cursor: cursor.to_string(),
                version: *version,
                groups: groups.iter().map(group_out).collect(),
                ..wire::Batch::default()
            };
            let parts = parts::split(batch).into_iter().map(wire::Done::Batch);
            send_replies(world, ticket, None, "", parts.map(Some).collect());
        }
    }
}

fn send_reply(
    world: &mut World,
    ticket: Ticket,
    code: Option<Code>,
    message: &str,
    done: Option<wire::Done>,
) {
    send_replies(world, ticket, code, message, vec![done]);
}

/// Sends the parts of an answer, in order.
fn send_replies(
    world: &mut World,
    ticket: Ticket,
    code: Option<Code>,
    message: &str,
    parts: Vec<Option<wire::Done>>,
) {
    let Some(taken) = world.forwards.taken.remove(&ticket) else {
        return;
    };
    for done in parts {
        let mut reply = wire::Reply {
            id: taken.id,
            code: code.map_or(0, |code| code as u32),
            message: message.into(),
            done,
        };
        if reply.encoded_len() + FRAME_MARGIN_BYTES > wire::FRAME_MAX_BYTES {
            reply.code = Code::OutcomeUnknown as u32;
            reply.message = "the answer is too large to be passed on".into();
            reply.done = None;
        }
        peer::send(world, &taken.from, wire::Body::Reply(reply));
    }
}

fn fail(world: &mut World, ticket: Ticket, pull: bool, code: Code, message: &str) {
    let message = message.into();
    if pull {
        stream::answer(world, ticket, stream::Answer::Error { code, message });
    } else {
        request::answer(world, ticket, Answer::Error { code, message });
    }
}

fn work(call: wire::Call) -> Work {
    if call.model.is_empty() {
        let wire::Call { service, method, path, content_type, body, .. } = call;
        return Work::Call(request::Call::new(&service, &method, &path, &content_type, body));
    }
    Work::Generate(Generate::new(&call.model, &call.prompt, call.max_tokens, &call.params))
}

fn response_out(response: &Response) -> wire::Response {
    wire::Response {
        status: u32::from(response.status),
        content_type: response.content_type.to_string(),
        body: response.body.clone(),
    }
}

fn text_out(text: &Text) -> wire::Text {
    let segments = text
        .segments
        .iter()
        .map(|segment| wire::Segment { version: segment.version, tokens: segment.tokens });
    wire::Text {
        text: text.text.to_string(),
        segments: segments.collect(),
        finish_reason: text.finish_reason.as_deref().unwrap_or_default().into(),
    }
}

fn text_in(text: wire::Text) -> Text {
    let segments = text
        .segments
        .into_iter()
        .map(|segment| Segment { version: segment.version, tokens: segment.tokens });
    Text {
        text: text.text.into(),
        segments: segments.collect(),
        finish_reason: (!text.finish_reason.is_empty()).then(|| text.finish_reason.into()),
    }
}

fn group_out(group: &stream::Group) -> wire::Group {
    let samples = group.samples.iter().map(|sample| wire::Sample {
        id: sample.id.to_string(),
        text: Some(wire::Text {
            text: sample.text.to_string(),
            segments: sample
                .segments
                .iter()
                .map(|segment| wire::Segment { version: segment.version, tokens: segment.tokens })
                .collect(),
            finish_reason: String::new(),
        }),
        reward: sample.reward,
    });
    wire::Group {
        prompt_index: group.prompt_index,
        prompt: group.prompt.to_string(),
        samples: samples.collect(),
    }
}

fn batch_in(batch: wire::Batch) -> stream::Answer {
    let groups = batch.groups.into_iter().map(|group| {
        let samples = group.samples.into_iter().map(|sample| {
            let text = text_in(sample.text.unwrap_or_default());
            stream::Sample {
                id: sample.id.into(),
                text: text.text,
                segments: text.segments,
                reward: sample.reward,
            }
        });
        stream::Group {
            prompt_index: group.prompt_index,
            prompt: group.prompt.into(),
            samples: samples.collect(),
        }
    });
    stream::Answer::Batch {
        cursor: batch.cursor.into(),
        version: batch.version,
        groups: groups.collect(),
    }
}
