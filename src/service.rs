//! Client of plain services: one HTTP call per attempt.

use async_trait::async_trait;
use http::header;

use crate::{
    attempt::Exchange,
    core::request::{Attempt, Failure, Output, Response, Update, Work},
    external, outbound,
    prelude::*,
};

/// Client of plain services.
#[derive(Clone, Debug)]
pub struct Service {
    pub connect_timeout: Duration,
    pub max_answer_bytes: usize,
}

impl From<outbound::Failure> for Failure {
    fn from(failure: outbound::Failure) -> Self {
        match failure {
            outbound::Failure::Connect => Self::Connect,
            outbound::Failure::Broken => Self::Broken,
            outbound::Failure::Timeout => Self::Timeout,
        }
    }
}

impl Service {
    async fn run(
        &self,
        attempt: &Attempt,
        sink: &mut dyn external::Sink,
    ) -> Result<Response, Failure> {
        // Work of another kind is not sent, which is what `Failure::Connect` means.
        let Work::Call(call) = &attempt.work else {
            return Err(Failure::Connect);
        };
        let (method, path, kind) = (&call.method, &call.path, &call.content_type);
        let request =
            outbound::build_request(method, &attempt.address, path, kind, call.body.clone());
        let Exchange { response, driver: _driver, deadline } =
            Exchange::start(attempt, request, self.connect_timeout, sink).await?;
        if outbound::is_leaving(response.headers()) {
            sink.target_leaving();
        }
        let status = response.status().as_u16();
        let content_type = response.headers().get(header::CONTENT_TYPE);
        let content_type = content_type.and_then(|it| it.to_str().ok()).unwrap_or_default().into();
        let body =
            outbound::read_body(response.into_body(), self.max_answer_bytes, deadline).await?;
        Ok(Response { status, content_type, body })
    }
}

#[async_trait]
impl external::Service for Service {
    async fn call(&self, attempt: &Attempt, sink: &mut dyn external::Sink) -> Update {
        match self.run(attempt, sink).await {
            Ok(response) => Update::Done(Output::Response(response)),
            Err(failure) => Update::Failed { failure, partial: None },
        }
    }
}
