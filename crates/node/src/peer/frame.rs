//! Messages between hosts: length-delimited Protocol Buffers frames.

use bytes::Bytes;
use futures::SinkExt;
use prost::Message;
use tokio::{net::TcpStream, time::timeout};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::{
    feed::ChangesRequest,
    peer::{
        contact::ContactRequest,
        dry_run::DryRun,
        failure::{FailedItems, FailuresRequest},
        limit::{Notice, Permit},
        run::Lead,
        suspect::{SuspectsRequest, Trial},
        tunnel::Tunnel,
        usage::UsageCounts,
    },
    prelude::*,
};

/// Largest frame; it leaves room for the largest submission that a caller may send.
const FRAME_BYTES_MAX: usize = 40 << 20;

/// Longest time that a message may name; a longer one counts as this.
const TIME_MAX: Duration = Duration::from_secs(24 * 3600);

/// Time for a message of a leader or a runner to be written.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Framed connection to a host.
pub type Frames = Framed<TcpStream, LengthDelimitedCodec>;

/// A request of another host. One request at a time is in progress on a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Request {
    #[prost(
        oneof = "Kind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 20, 21, 22"
    )]
    pub kind: Option<Kind>,
}

/// Kind of a request.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Kind {
    #[prost(message, tag = "1")]
    Results(Results),
    #[prost(message, tag = "2")]
    Body(Body),
    #[prost(message, tag = "3")]
    Submitted(Submitted),
    #[prost(message, tag = "4")]
    End(End),
    /// From here on the connection carries messages of a leader and its runner.
    #[prost(message, tag = "5")]
    Lead(Lead),
    /// Changes of a prefix of the store, from the host that reads it for its zone.
    #[prost(message, tag = "6")]
    Changes(ChangesRequest),
    /// Asks for the permit to send a request to a target with a limit.
    #[prost(message, tag = "7")]
    Permit(Permit),
    /// Tells what targets have said of themselves.
    #[prost(message, tag = "8")]
    Notice(Notice),
    /// Tells or asks which software version began a stream.
    #[prost(message, tag = "9")]
    Origin(Origin),
    /// From here on the connection carries the bytes from and to a target.
    #[prost(message, tag = "10")]
    Tunnel(Tunnel),
    /// Asks for the contents under which targets ended.
    #[prost(message, tag = "11")]
    Suspects(SuspectsRequest),
    /// Asks whether a held content may be sent to a target once more.
    #[prost(message, tag = "12")]
    Trial(Trial),
    /// Asks for the failed items that a host knows.
    #[prost(message, tag = "13")]
    Failures(FailuresRequest),
    /// Tells of failed items, for the next leader.
    #[prost(message, tag = "14")]
    Failed(FailedItems),
    /// Tells what a host has counted, and asks for the clocks of others.
    #[prost(message, tag = "15")]
    Usage(UsageCounts),
    /// A call about a job for a workspace. Hosts of earlier builds do not serve it, as they cannot tell whose a job is.
    #[prost(message, tag = "20")]
    Owned(Owned),
    /// Asks where a request or the next item of a job would go. Hosts of earlier builds do not serve it.
    #[prost(message, tag = "21")]
    DryRun(DryRun),
    /// Asks whether the store has answered a host in a time. Hosts of earlier builds do not serve it.
    #[prost(message, tag = "22")]
    Contact(ContactRequest),
}

/// A call about a job, for a caller of a workspace.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Owned {
    #[prost(string, tag = "1")]
    pub workspace: String,
    #[prost(oneof = "JobCall", tags = "2, 3, 4")]
    pub call: Option<JobCall>,
}

/// A call about a job.
#[derive(Clone, PartialEq, Eq, prost::Oneof)]
pub enum JobCall {
    #[prost(message, tag = "2")]
    Results(Results),
    #[prost(message, tag = "3")]
    Body(Body),
    #[prost(message, tag = "4")]
    End(End),
}

impl JobCall {
    /// Id of the job.
    pub fn job(&self) -> &str {
        let (Self::Results(Results { job, .. })
        | Self::Body(Body { job, .. })
        | Self::End(End { job })) = self;
        job
    }

    /// Request for a caller, whose workspace the job must have if the caller has one.
    pub fn into_kind(self, workspace: Option<&str>) -> Kind {
        match (workspace, self) {
            (Some(workspace), call) => {
                Kind::Owned(Owned { workspace: workspace.to_owned(), call: Some(call) })
            }
            (None, Self::Results(results)) => Kind::Results(results),
            (None, Self::Body(body)) => Kind::Body(body),
            (None, Self::End(end)) => Kind::End(end),
        }
    }
}

/// Requests the results of a job from position `after` on.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Results {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(uint64, tag = "2")]
    pub after: u64,
    /// Time for which the response may wait for a new result.
    #[prost(uint64, tag = "3")]
    pub wait_ms: u64,
}

/// Requests the body of an item.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Body {
    #[prost(string, tag = "1")]
    pub job: String,
    #[prost(string, tag = "2")]
    pub item: String,
}

/// Tells the leader of a service about a job that was just written to the store.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Submitted {
    #[prost(string, tag = "1")]
    pub job: String,
    /// Head of the job as stored.
    #[prost(bytes = "bytes", tag = "2")]
    pub record: Bytes,
    /// Body of the submission as received.
    #[prost(bytes = "bytes", tag = "3")]
    pub body: Bytes,
    /// Revision at which the head was written.
    #[prost(uint64, tag = "4")]
    pub revision: u64,
}

/// Requests that a job be ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct End {
    #[prost(string, tag = "1")]
    pub job: String,
}

/// Version that began a caller's stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Origin {
    /// Id of the request that brought the first event.
    #[prost(string, tag = "1")]
    pub stream: String,
    /// Absent in a question, whose answer has the version as its body.
    #[prost(string, optional, tag = "2")]
    pub software: Option<String>,
}

/// Response to a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Response {
    /// The host could serve the request. If not, the requester has to turn to the store.
    #[prost(bool, tag = "1")]
    pub served: bool,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
    /// The host has the job, and it does not exist for the workspace of the request.
    #[prost(bool, tag = "3")]
    pub hidden: bool,
}

impl Response {
    pub fn served(body: Bytes) -> Self {
        Self { served: true, body, hidden: false }
    }

    /// The job is of another workspace.
    pub fn hidden() -> Self {
        Self { served: true, body: Bytes::new(), hidden: true }
    }

    pub fn not_served() -> Self {
        Self::default()
    }
}

pub(super) fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES_MAX).new_codec()
}

/// Queues a message; `None` if the connection has failed or is blocked.
pub async fn feed(frames: &mut Frames, message: &impl Message) -> Option<()> {
    let frame = Bytes::from(message.encode_to_vec());
    timeout(WRITE_TIMEOUT, frames.feed(frame)).await.ok()?.ok()
}

/// Writes the queued messages; `None` if the connection has failed or is blocked.
pub async fn flush(frames: &mut Frames) -> Option<()> {
    timeout(WRITE_TIMEOUT, SinkExt::<Bytes>::flush(frames)).await.ok()?.ok()
}

/// Duration of milliseconds in a message, which another build may have got wrong.
pub fn duration(ms: u64) -> Duration {
    Duration::from_millis(ms).min(TIME_MAX)
}

/// Microseconds of a duration in a message.
pub(super) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// Milliseconds of a duration in a message.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
