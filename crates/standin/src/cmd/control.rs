use std::time::Duration;

use http::Method;
use http_body_util::BodyExt;
use tokio::time;
use volo_http::{body::Body, client::Client};

use super::{Control, Run};
use crate::{Error, Result};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

impl Run for Control {
    async fn run(self) -> Result<()> {
        let fail =
            |message: String| Error::Control { url: self.url.clone(), message: message.into() };
        let method =
            Method::from_bytes(self.method.as_bytes()).map_err(|error| fail(error.to_string()))?;
        let client = Client::builder().build().map_err(|error| fail(error.to_string()))?;
        let request = client.request(method, &*self.url).data(self.body.clone().into_string());
        let response = async {
            let response = request.send::<Body>().await.map_err(|error| error.to_string())?;
            let status = response.status();
            let body = response.into_body().collect().await.map_err(|error| error.to_string())?;
            Ok((status, body.to_bytes()))
        };
        let response: std::result::Result<_, String> = time::timeout(RESPONSE_TIMEOUT, response)
            .await
            .unwrap_or_else(|_| Err("no response within 10 s".into()));
        let (status, body) = response.map_err(fail)?;
        println!("{}", String::from_utf8_lossy(&body));
        if status.is_success() {
            return Ok(());
        }
        Err(fail(format!("status {status}")))
    }
}
