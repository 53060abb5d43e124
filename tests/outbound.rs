//! Guards against responses of targets and of the platform that take more memory than allowed.

mod util;

use std::time::Duration;

use bytes::Bytes;
use lagoonyard::outbound::{self, Failure, Lines};
use tokio::time::Instant;
use util::{http, server};

const LIMIT_BYTES: usize = 4;

/// Lines of a body until it ends or one is refused.
async fn lines_of(body: &str) -> (Vec<Bytes>, Option<Failure>) {
    let (address, _requests) = server(vec![http("200 OK", "", body)]).await;
    let address = address.to_string();
    let deadline = Instant::now() + Duration::from_secs(10);
    let request = outbound::build_request("GET", &address, "/", "", Bytes::new()).unwrap();
    let connection = outbound::connect(&address, deadline).await.unwrap();
    let (response, _driver) = connection.send(request, deadline).await.unwrap();
    let mut lines = Lines::new(response.into_body(), LIMIT_BYTES);
    let mut read = Vec::new();
    loop {
        match lines.next().await {
            Ok(Some(line)) => read.push(line),
            Ok(None) => return (read, None),
            Err(failure) => return (read, Some(failure)),
        }
    }
}

/// Guards against a line above the limit that passes because it arrives together with its line feed.
#[tokio::test]
async fn a_line_above_the_limit_is_refused_although_its_end_is_there() {
    for (body, read, failure) in [
        ("1234\n12\n", &["1234", "12"][..], None),
        ("1234\n1234", &["1234", "1234"], None),
        ("12\n12345\n12\n", &["12"], Some(Failure::Broken)),
        ("12\n12345", &["12"], Some(Failure::Broken)),
    ] {
        let found = lines_of(body).await;
        assert_eq!((found.0, found.1), (read.iter().map(|&it| it.into()).collect(), failure));
    }
}
