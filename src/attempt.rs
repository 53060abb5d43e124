//! Start of an attempt on a target over HTTP, common to model engines and plain services.

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    core::request::{Attempt, Failure},
    external::Sink,
    outbound::{self, Driver},
    prelude::*,
};

/// HTTP exchange of an attempt, whose response head has been received.
pub struct Exchange {
    pub response: Response<Incoming>,
    /// Must be kept until the body has been read.
    pub driver: Driver,
    /// Deadline of the attempt.
    pub deadline: Instant,
}

impl Exchange {
    /// Connects and sends the request, which is `None` if it is not valid in HTTP. Calls `sink.before_send` once the
    /// connection is open.
    pub async fn start(
        attempt: &Attempt,
        request: Option<Request<Full<Bytes>>>,
        connect_timeout: Duration,
        sink: &mut dyn Sink,
    ) -> Result<Self, Failure> {
        let request = request.ok_or(Failure::Connect)?;
        let now = Instant::now();
        let deadline = now + attempt.timeout;
        let connect_deadline = deadline.min(now + connect_timeout);
        let connection = outbound::connect(&attempt.address, connect_deadline).await?;
        sink.before_send();
        let (response, driver) = connection.send(request, deadline).await?;
        if response.status() == StatusCode::SERVICE_UNAVAILABLE
            && outbound::is_leaving(response.headers())
        {
            return Err(Failure::Leaving);
        }
        Ok(Self { response, driver, deadline })
    }
}
