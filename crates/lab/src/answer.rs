//! Answers in the form that scripts read.

use lagoonyard::{
    core::{config, request, stream},
    prelude::*,
};
use rhai::Map;

use crate::{Fleet, fleet::Reply};

/// State, result code, kind and text of a ticket's answer.
pub fn to_map(fleet: &Fleet, ticket: Ticket) -> Map {
    let (mut state, mut code, mut kind, mut text) = ("open", 0, String::new(), String::new());
    let mut fail = |found: &Code, message: &str| {
        state = "error";
        code = i64::from(*found as u16);
        kind = format!("{:?}", found.kind());
        text = message.into();
    };
    match fleet.replies.get(&ticket) {
        None => {}
        Some(Reply::Broken) => state = "broken",
        Some(Reply::Answer(request::Answer::Error { code, message })) => fail(code, message),
        Some(Reply::Batch(stream::Answer::Error { code, message })) => fail(code, message),
        Some(Reply::Admin(config::Answer::Error { code, message, details })) => {
            fail(code, &format!("{message} {details:?}"));
        }
        Some(Reply::Keys(keys)) => {
            state = "done";
            text = keys.first().map(ToString::to_string).unwrap_or_default();
        }
        Some(Reply::Answer(request::Answer::Done(request::Output::Text(output)))) => {
            state = "done";
            text = output.text.to_string();
        }
        Some(Reply::Answer(request::Answer::Done(request::Output::Response(response)))) => {
            state = "done";
            text = String::from_utf8_lossy(&response.body).into_owned();
        }
        Some(Reply::Admin(config::Answer::Done(value))) => {
            state = "done";
            text = value.to_string();
        }
        Some(Reply::Batch(stream::Answer::Batch { groups, .. })) => {
            state = "done";
            text = groups
                .iter()
                .map(|group| group.prompt_index.to_string())
                .collect::<Vec<_>>()
                .join(",");
        }
    }
    Map::from([
        ("state".into(), state.into()),
        ("code".into(), code.into()),
        ("kind".into(), kind.into()),
        ("text".into(), text.into()),
    ])
}
