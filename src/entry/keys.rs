//! `POST /v1/keys`: issues idempotency keys.

use std::{sync::Arc, time::Instant};

use serde::Deserialize;
use volo_http::request::Request;

use super::{Answer, unexpected_reply};
use crate::{
    answer::{self, Error},
    control::{Control, Reply},
    core::{Event, key, request},
    prelude::*,
};

/// Keys per call, so that one caller cannot fill the table.
const COUNT_MAX: u32 = 1000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Ask {
    count: u32,
}

pub async fn run(control: &Arc<Control>, request: Request, _: Instant) -> Result<Answer, Error> {
    let (body, _body_permit) = control.read_body(request).await?;
    let Ask { count } = answer::parse_json(&body)?;
    if count == 0 || count > COUNT_MAX {
        return Err(Error::new(Code::RequestMalformed, format!("count: must be 1 to {COUNT_MAX}")));
    }
    let mut pending = control.call(|ticket| Event::Key(key::Issue { ticket, count }))?;
    match pending.reply().await? {
        Reply::Keys(keys) => {
            Ok(Answer::Complete(answer::json(&serde_json::json!({ "keys": keys }))))
        }
        Reply::Answer(request::Answer::Error { code, message }) => Err(Error::new(code, message)),
        _ => Err(unexpected_reply()),
    }
}
