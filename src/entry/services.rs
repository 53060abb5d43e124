//! `/v1/services/<service>/<path>`: calls to plain services.

use std::{sync::Arc, time::Instant};

use http::header;
use volo_http::request::Request;

use super::{Answer, deadline, idempotency_key, unexpected_reply};
use crate::{
    answer::{self, Error},
    control::{Control, Reply},
    core::{
        Event,
        request::{self, Call, Incoming, Output, Work},
    },
    prelude::*,
};

pub async fn run(control: &Arc<Control>, request: Request, _: Instant) -> Result<Answer, Error> {
    let (key, deadline) = (idempotency_key(request.headers())?, deadline(request.headers())?);
    let method: Box<str> = request.method().as_str().into();
    let (service, path) = split_path(&request).ok_or(Code::UnknownName)?;
    let content_type = request.headers().get(header::CONTENT_TYPE);
    let content_type: Box<str> =
        content_type.and_then(|it| it.to_str().ok()).unwrap_or_default().into();
    let (body, _body_permit) = control.read_body(request).await?;
    control.check_ready()?;
    let work = Work::Call(Call::new(&service, &method, &path, &content_type, body));
    let incoming = Incoming { work, key, deadline };
    let mut pending =
        control.call(|ticket| Event::Request(request::Event::Submit { ticket, incoming }))?;
    match pending.reply().await? {
        Reply::Answer(request::Answer::Done(Output::Response(response))) => {
            Ok(Answer::Complete(answer::service_response(response)))
        }
        Reply::Answer(request::Answer::Error { code, message }) => Err(Error::new(code, message)),
        _ => Err(unexpected_reply()),
    }
}

/// Name of the service, and the path and query to call on it.
fn split_path(request: &Request) -> Option<(Box<str>, Box<str>)> {
    let rest = request.uri().path_and_query()?.as_str().strip_prefix("/v1/services/")?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.into() } else { format!("/{path}").into() };
    Some((service.into(), path))
}
