//! Limits, leases and rewinds of the key-value store.

mod common;

use common::Standin;
use serde_json::json;

/// Guards against a taken lease id that is reported as a full store.
#[tokio::test]
async fn a_lease_id_that_exists_is_reported_as_such() {
    let platform = Standin::start(&["platform"]);
    let grant = json!({"ID": "7", "TTL": "60"});
    assert_eq!(platform.post("/v3/lease/grant", &grant).await.unwrap().0, 200);
    let (status, body) = platform.post("/v3/lease/grant", &grant).await.unwrap();
    assert_eq!((status, &body["code"]), (400, &json!(9)), "{body}");
    assert_eq!(body["message"], "etcdserver: lease already exists");
}
