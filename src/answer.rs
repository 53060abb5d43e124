//! Request bodies and responses of the HTTP ports.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use tokio::time::timeout;
use volo_http::{body::Body, request::Request};

use crate::{
    core::request::{Response as ServiceResponse, Segment},
    prelude::*,
};

/// Error that is answered to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Error {
    pub code: Code,
    pub message: Box<str>,
    pub details: Vec<Box<str>>,
}

impl Error {
    pub fn new(code: Code, message: impl Into<Box<str>>) -> Self {
        Self { code, message: message.into(), details: Vec::new() }
    }

    /// JSON body, also sent as an event in a stream.
    pub fn body(&self) -> Value {
        let mut error = json!({"code": self.code.to_string(), "kind": self.code.kind(), "message": self.message});
        if !self.details.is_empty() {
            error["details"] = json!(self.details);
        }
        json!({ "error": error })
    }

    pub fn response(&self) -> Response<Body> {
        let mut response = json(&self.body());
        *response.status_mut() =
            StatusCode::from_u16(self.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        response
    }
}

impl From<Code> for Error {
    fn from(code: Code) -> Self {
        Self::new(code, code.text())
    }
}

/// Response with a JSON body.
pub fn json(value: &impl Serialize) -> Response<Body> {
    typed("application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Response with a body of the given content type.
pub fn typed(content_type: &str, body: impl Into<Body>) -> Response<Body> {
    let mut response = Response::new(body.into());
    if let Ok(value) = HeaderValue::from_str(content_type) {
        response.headers_mut().insert(header::CONTENT_TYPE, value);
    }
    response
}

/// Response that passes on the answer of a plain service.
pub fn service_response(answer: ServiceResponse) -> Response<Body> {
    let mut response = typed(&answer.content_type, answer.body);
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    response
}

pub fn segments_json(segments: &[Segment]) -> Value {
    let segment = |it: &Segment| json!({"version": it.version, "tokens": it.tokens});
    segments.iter().map(segment).collect()
}

/// Length of the body according to the `Content-Length` header.
pub fn content_length(request: &Request) -> Option<usize> {
    request.headers().get(header::CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reads the body of a request within limits on size and time.
pub async fn read_body(
    request: Request,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, Error> {
    if content_length(&request).is_some_and(|it| it > max_bytes) {
        return Err(Code::TooLarge.into());
    }
    match timeout(time_limit, Limited::new(request.into_body(), max_bytes).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Code::TooLarge.into()),
        Ok(Err(_)) => {
            Err(Error::new(Code::RequestMalformed, "could not read the body: connection broke"))
        }
        Err(_) => {
            Err(Error::new(Code::RequestMalformed, "could not read the body within the time limit"))
        }
    }
}

/// Parses JSON; the error message names the path of the invalid field.
pub fn parse_json<T: DeserializeOwned>(body: &[u8]) -> Result<T, Error> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        Error::new(Code::RequestMalformed, format!("{}: {}", error.path(), error.inner()))
    })?;
    json.end().map_err(|error| Error::new(Code::RequestMalformed, error.to_string()))?;
    Ok(value)
}
