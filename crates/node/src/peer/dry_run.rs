//! Messages of a dry run. The API key is sent as its digest, so no host or log can show it.

use bytes::Bytes;

use crate::{
    build::BUILD,
    dry_run::{Answer, Question, Subject},
    workspace::{ApiKey, Credential},
};

/// Asks where a request or the next item of a job would go now.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DryRun {
    /// Host name, path and id of a request.
    #[prost(string, tag = "1")]
    pub host: String,
    #[prost(string, tag = "2")]
    pub path: String,
    #[prost(string, tag = "3")]
    pub request: String,
    /// Id of a job; the fields above are then empty.
    #[prost(string, optional, tag = "4")]
    pub job: Option<String>,
    /// Digest of the API key.
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub key: Option<Bytes>,
}

impl From<Question> for DryRun {
    fn from(question: Question) -> Self {
        let key = match question.credential {
            Credential::Key(key) => Some(Bytes::copy_from_slice(key.digest())),
            Credential::Missing | Credential::Duplicated | Credential::Malformed => None,
        };
        match question.subject {
            Subject::Request { host, path, id } => {
                Self { host: host.into(), path: path.into(), request: id.into(), job: None, key }
            }
            Subject::Job(job) => Self { job: Some(job.into()), key, ..Self::default() },
        }
    }
}

impl From<DryRun> for Question {
    fn from(message: DryRun) -> Self {
        let key = message.key.map(|digest| ApiKey::of_digest(&digest));
        let credential = match key {
            None => Credential::Missing,
            Some(key) => key.map_or(Credential::Malformed, Credential::Key),
        };
        let subject = match message.job {
            Some(job) => Subject::Job(job.into()),
            None => Subject::Request {
                host: message.host.into(),
                path: message.path.into(),
                id: message.request.into(),
            },
        };
        Self { subject, credential }
    }
}

/// Answer to a dry run.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct DryRunReply {
    /// Build of the host.
    #[prost(string, tag = "1")]
    pub build: String,
    /// The answer as JSON.
    #[prost(bytes = "bytes", tag = "2")]
    pub answer: Bytes,
}

impl DryRunReply {
    pub fn new(answer: &Answer) -> Self {
        let answer = serde_json::to_vec(answer).unwrap_or_default().into();
        Self { build: BUILD.to_string(), answer }
    }

    /// The answer; `None` if a host of another build has written what this one cannot read.
    pub fn answer(&self) -> Option<Answer> {
        serde_json::from_slice(&self.answer).ok()
    }
}
