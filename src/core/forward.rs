//! Requests forwarded to another host.
//!
//! A keyed request runs on the host that issued its key, and a pull is answered by the owner of its stream. A host that
//! receives one for another host forwards it over the peer link and answers the ticket with the reply. If no reply
//! arrives by the deadline or the link breaks, the answer is `OutcomeUnknown`.

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

/// Time beyond the request's deadline for its reply to arrive.
pub const REPLY_GRACE: Duration = Duration::from_millis(500);

/// Part of a frame reserved for the message around its content.
const FRAME_MARGIN_BYTES: usize = 1024;

/// A request forwarded to a peer.
#[derive(Debug)]
struct Outgoing {
    to: HostId,
    ticket: Ticket,
    deadline: Time,
    pull: bool,
    parts: Assembler,
}

/// A request received from a peer.
#[derive(Debug)]
struct Origin {
    from: HostId,
    id: u64,
}

/// Requests forwarded to peers and received from them.
#[derive(Debug, Default)]
pub struct Table {
    outgoing: BTreeMap<u64, Outgoing>,
    by_ticket: BTreeMap<Ticket, u64>,
    deadlines: BTreeSet<(Time, u64)>,
    incoming: BTreeMap<Ticket, Origin>,
    last_outgoing: u64,
    last_incoming: Ticket,
}

impl Table {
    pub fn is_idle(&self) -> bool {
        self.outgoing.is_empty() && self.incoming.is_empty()
    }

    /// Earliest deadline.
    pub fn wake(&self) -> Option<Time> {
        self.deadlines.first().map(|(time, _)| *time)
    }

    /// Drops the ticket of a disconnected caller; returns whether its request was forwarded.
    pub fn abandon(&mut self, ticket: Ticket) -> bool {
        let id = self.by_ticket.get(&ticket).copied();
        id.and_then(|id| self.close(id)).is_some()
    }

    fn close(&mut self, id: u64) -> Option<Outgoing> {
        let sent = self.outgoing.remove(&id)?;
        self.by_ticket.remove(&sent.ticket);
        self.deadlines.remove(&(sent.deadline, id));
        Some(sent)
    }
}

/// Forwards a request. The ticket is answered with the reply, or with `OutcomeUnknown` if none arrives by the deadline.
pub fn send(
    world: &mut World,
    to: &HostId,
    request: wire::Request,
    ticket: Ticket,
    deadline: Time,
) {
    let pull = matches!(request, wire::Request::Pull(_));
    let reachable = world.hosts.rows.get(to).is_some_and(|row| row.state != host::State::Dead);
    if !reachable {
        return fail(
            world,
            ticket,
            pull,
            Code::OutcomeUnknown,
            "could not forward the request: the responsible host is not reachable",
        );
    }
    let table = &mut world.forwards;
    table.last_outgoing += 1;
    let id = table.last_outgoing;
    let forward = wire::Forward { id, request: Some(request) };
    if forward.encoded_len() + FRAME_MARGIN_BYTES > wire::FRAME_MAX_BYTES {
        return fail(
            world,
            ticket,
            pull,
            Code::TooLarge,
            "could not forward the request: it is too large",
        );
    }
    let to = to.clone();
    let body = wire::Body::Forward(forward);
    table.outgoing.insert(
        id,
        Outgoing { to: to.clone(), ticket, deadline, pull, parts: Assembler::default() },
    );
    table.by_ticket.insert(ticket, id);
    table.deadlines.insert((deadline, id));
    peer::send(world, &to, body);
}

/// Handles a request that a peer forwarded.
pub fn input(world: &mut World, from: &HostId, forward: wire::Forward) {
    let table = &mut world.forwards;
    table.last_incoming += 1;
    let ticket = FROM_PEER | table.last_incoming;
    let from = from.clone();
    table.incoming.insert(ticket, Origin { from, id: forward.id });
    match forward.request {
        Some(wire::Request::Call(call)) => {
            let deadline = Some(Duration::from_millis(call.deadline_ms));
            let key = Some(call.key.as_str().into());
            let work = work(call);
            let incoming = Incoming { work, key, deadline };
            request::input(world, request::Event::Submit { ticket, incoming });
        }
        Some(wire::Request::Pull(pull)) => stream::forwarded(world, ticket, pull),
        None => answer(world, ticket, &Answer::error(Code::RequestMalformed)),
    }
}

/// Handles the reply to a forwarded request.
pub fn reply(world: &mut World, from: &HostId, mut reply: wire::Reply) {
    let Some(sent) = world.forwards.outgoing.get_mut(&reply.id).filter(|sent| sent.to == *from)
    else {
        return;
    };
    if let Some(wire::Payload::Batch(part)) = reply.payload {
        reply.payload = match sent.parts.add(part) {
            Joined::Incomplete => return,
            Joined::Complete(batch) => Some(wire::Payload::Batch(batch)),
            Joined::Invalid => None,
        };
    }
    let Some(sent) = world.forwards.close(reply.id) else {
        return;
    };
    let code = u16::try_from(reply.code).ok().and_then(Code::from_number);
    match (sent.pull, code, reply.payload) {
        (false, None, Some(wire::Payload::Response(response))) => {
            let response = Response {
                status: response.status as u16,
                content_type: response.content_type.into(),
                body: response.body,
            };
            request::answer(world, sent.ticket, Answer::Done(Output::Response(response)));
        }
        (false, None, Some(wire::Payload::Text(text))) => {
            request::answer(world, sent.ticket, Answer::Done(Output::Text(text_in(text))));
        }
        (true, None, Some(wire::Payload::Batch(batch))) => {
            stream::answer(world, sent.ticket, batch_in(batch));
        }
        (pull, Some(code), _) => fail(world, sent.ticket, pull, code, &reply.message),
        (pull, ..) => {
            fail(
                world,
                sent.ticket,
                pull,
                Code::OutcomeUnknown,
                "could not read the reply of the responsible host",
            );
        }
    }
}

/// Ends the requests forwarded to a host whose link broke. They may or may not have arrived.
pub fn link_lost(world: &mut World, to: &HostId) {
    let ids: Vec<u64> = world
        .forwards
        .outgoing
        .iter()
        .filter(|(_, sent)| sent.to == *to)
        .map(|(id, _)| *id)
        .collect();
    for id in ids {
        end_unknown(world, id, "the link to the responsible host broke");
    }
}

/// Ends forwarded requests whose deadline has passed.
pub fn run(world: &mut World) {
    while let Some(&(time, id)) = world.forwards.deadlines.first()
        && time <= world.now
    {
        world.forwards.deadlines.pop_first();
        end_unknown(world, id, "the responsible host did not answer in time");
    }
}

fn end_unknown(world: &mut World, id: u64, message: &str) {
    if let Some(sent) = world.forwards.close(id) {
        fail(world, sent.ticket, sent.pull, Code::OutcomeUnknown, message);
    }
}

/// Sends the answer to a request that came from a peer.
pub fn answer(world: &mut World, ticket: Ticket, answer: &Answer) {
    let (code, message, payload) = match answer {
        Answer::Done(Output::Response(response)) => {
            (None, "", Some(wire::Payload::Response(response_out(response))))
        }
        Answer::Done(Output::Text(text)) => (None, "", Some(wire::Payload::Text(text_out(text)))),
        Answer::Error { code, message } => (Some(*code), &**message, None),
    };
    send_reply(world, ticket, code, message, payload);
}

/// Sends the answer to a pull that came from a peer.
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
            let parts = parts::split(batch).into_iter().map(wire::Payload::Batch);
            send_replies(world, ticket, None, "", parts.map(Some).collect());
        }
    }
}

fn send_reply(
    world: &mut World,
    ticket: Ticket,
    code: Option<Code>,
    message: &str,
    payload: Option<wire::Payload>,
) {
    send_replies(world, ticket, code, message, vec![payload]);
}

/// Sends the parts of an answer in order.
fn send_replies(
    world: &mut World,
    ticket: Ticket,
    code: Option<Code>,
    message: &str,
    parts: Vec<Option<wire::Payload>>,
) {
    let Some(origin) = world.forwards.incoming.remove(&ticket) else {
        return;
    };
    for payload in parts {
        let mut reply = wire::Reply {
            id: origin.id,
            code: code.map_or(0, |code| code as u32),
            message: message.into(),
            payload,
        };
        if reply.encoded_len() + FRAME_MARGIN_BYTES > wire::FRAME_MAX_BYTES {
            reply.code = Code::OutcomeUnknown as u32;
            reply.message = "could not forward the answer: it is too large".into();
            reply.payload = None;
        }
        peer::send(world, &origin.from, wire::Body::Reply(reply));
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
