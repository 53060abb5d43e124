//! Messages between the control thread and the traffic thread.

use std::{net::SocketAddr, sync::Arc};

use tokio::sync::oneshot;

use crate::{
    dry_run::{Inquiry, Plan, Refusal},
    fleet::Departure,
    job::{Chunk, Record, Spec},
    peer::UsageCounts,
    prelude::*,
    rate,
    traffic::{Run, RunReport},
    usage::Receipt,
};

/// Command from the control thread.
#[derive(Debug)]
pub enum Command {
    Run(Box<Run>),
    /// Stops a run, which then reports its end and the text so far.
    Stop {
        run: u64,
        /// Host that runs the item; `None` for this one.
        runner: Option<SocketAddr>,
    },
    /// This host leads a service, and no other host can until a time.
    LeadershipRenewed {
        service: ServiceId,
        until: Time,
    },
    /// This host runs a job and knows all its results.
    JobOpened {
        service: ServiceId,
        workspace: Option<WorkspaceId>,
        spec: Arc<Spec>,
        chunks: Vec<Chunk>,
    },
    /// Another host may lead a service and write results.
    JobsClosed {
        service: ServiceId,
    },
    /// The write of a chunk has begun.
    ChunkBegun {
        job: JobId,
    },
    /// The write of a chunk has ended; `None` if it certainly had no effect.
    ChunkWritten {
        job: JobId,
        chunk: Option<Chunk>,
    },
}

/// A job that was just written to the store.
#[derive(Debug)]
pub struct Submission {
    pub record: Record,
    /// Revision at which the head was written.
    pub revision: Revision,
    pub spec: Arc<Spec>,
}

/// Where news of a target come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Answer,
    Host,
}

/// Report to the control thread.
#[derive(Debug)]
pub enum Report {
    Run(RunReport),
    /// A job was submitted whose service this host may lead.
    Submitted(Box<Submission>),
    /// A trainer ends a job. The reply is `false` if this host does not lead the job's service or could not end it.
    EndRequested {
        job: JobId,
        reply: oneshot::Sender<bool>,
    },
    /// An answer of a target or another host tells of its limit.
    Limit {
        target: TargetId,
        news: rate::News,
    },
    /// A target has said that it leaves.
    Departure {
        departure: Departure,
        source: Source,
    },
    /// A request for an engine with a limit needs to be granted. The reply is `None` if this host may not lead the
    /// service, and otherwise the time after which to ask again if the request is refused.
    PermitRequested {
        service: ServiceId,
        target: TargetId,
        priority: u32,
        reply: oneshot::Sender<Option<Result<(), Duration>>>,
    },
    /// An operator asks where an item would go.
    DryRun {
        inquiry: Inquiry,
        reply: oneshot::Sender<Result<Box<Plan>, Refusal>>,
    },
    /// A host tells what it has counted. The reply is the first window that is not settled, if this host holds the duty.
    Usage {
        counts: Box<UsageCounts>,
        reply: oneshot::Sender<Receipt>,
    },
}
