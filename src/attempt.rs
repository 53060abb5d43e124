//! Start of an attempt on a target over HTTP, the same for engines and plain services.

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

/// An answer whose head has come.
pub struct Exchange {
    pub response: Response<Incoming>,
    /// Reads the connection for as long as it is kept.
    pub driver: Driver,
    /// End of the attempt.
    pub deadline: Instant,
}

impl Exchange {
    /// Connects and sends the request, which is absent if it cannot be put into HTTP; `sink.before_send` is called before the
    /// first byte goes out.
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
