//! `POST /v1/trainers/<trainer>/pull` and `/versions`: delivery of batches and announcement of new weight versions.

use std::{sync::Arc, time::Instant};

use serde::Deserialize;
use serde_json::{Value, json};
use volo_http::request::Request;

use super::{Answer, unexpected_reply};
use crate::{
    answer::{self, Error},
    control::{Control, Reply},
    core::{
        Event, config, rollout,
        stream::{self, Group, Sample},
    },
    prelude::*,
};

/// Longest wait of one pull; a trainer that wants to wait longer pulls again.
const WAIT_MAX_MS: u64 = 600_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Pull {
    #[serde(default)]
    cursor: Box<str>,
    version: Version,
    #[serde(default)]
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announce {
    version: Version,
    weights: Box<str>,
}

pub async fn pull(control: &Arc<Control>, request: Request, _: Instant) -> Result<Answer, Error> {
    let trainer = trainer(&request)?;
    let (body, _body_permit) = control.read_body(request).await?;
    let pull: Pull = answer::parse_json(&body)?;
    if pull.wait_ms > WAIT_MAX_MS {
        return Err(Error::new(
            Code::RequestMalformed,
            format!("wait_ms: must be at most {WAIT_MAX_MS}"),
        ));
    }
    let name = trainer.clone();
    let event = |ticket| stream::Event {
        ticket,
        trainer,
        cursor: pull.cursor,
        version: pull.version,
        wait: Duration::from_millis(pull.wait_ms),
    };
    let mut pending = control.call(|ticket| Event::Stream(event(ticket)))?;
    match pending.reply().await? {
        Reply::Batch(stream::Answer::Batch { cursor, version, groups }) => {
            let samples = groups.iter().map(|it| it.samples.len()).sum();
            control.metrics.record_samples(&name, samples);
            log::info!("trainer={name} version={version} samples={samples} batch delivered");
            let groups: Vec<Value> = groups.iter().map(group).collect();
            let body = json!({"cursor": cursor, "version": version, "groups": groups});
            Ok(Answer::Complete(answer::json(&body)))
        }
        Reply::Batch(stream::Answer::Error { code, message }) => Err(Error::new(code, message)),
        _ => Err(unexpected_reply()),
    }
}

pub async fn versions(
    control: &Arc<Control>,
    request: Request,
    _: Instant,
) -> Result<Answer, Error> {
    let trainer = trainer(&request)?;
    let (body, _body_permit) = control.read_body(request).await?;
    let Announce { version, weights } = answer::parse_json(&body)?;
    log::info!("trainer={trainer} version={version} announced");
    let event = |ticket| rollout::Announcement { ticket, trainer, version, weights };
    let mut pending = control.call(|ticket| Event::Announce(event(ticket)))?;
    match pending.reply().await? {
        Reply::Admin(config::Answer::Done(value)) => Ok(Answer::Complete(answer::json(&value))),
        Reply::Admin(config::Answer::Error { code, message, details }) => {
            Err(Error { code, message, details })
        }
        _ => Err(unexpected_reply()),
    }
}

fn trainer(request: &Request) -> Result<TrainerId, Error> {
    let name = request.uri().path().split('/').nth(3).unwrap_or_default();
    if name.is_empty() {
        return Err(Code::UnknownTrainer.into());
    }
    Ok(name.into())
}

fn group(group: &Group) -> Value {
    let samples: Vec<Value> = group.samples.iter().map(sample).collect();
    json!({"prompt_index": group.prompt_index, "prompt": &*group.prompt, "samples": samples})
}

fn sample(sample: &Sample) -> Value {
    let segments = answer::segments_json(&sample.segments);
    json!({"id": sample.id, "text": sample.text, "segments": segments, "reward": sample.reward})
}
