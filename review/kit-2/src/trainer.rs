//! Stand-in of a trainer, and the configuration of the small deployment that all cases use.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    base64,
    engine::MODEL,
    http::{self, Response},
    json::{Json, quoted},
    node::{Node, Nodes},
    record::Record,
};

pub const HOST: &str = "ficu95.example";
/// Prefixes of the routes of batch submissions and of reward calls.
pub const JOBS: &str = "/pule252/";
pub const JUDGES: &str = "/pufi791/";
pub const ENGINES: &str = "huvo11a";
pub const DESK: &str = "wuno96b";
/// Time for which a trainer waits for an answer.
const TIMEOUT: Duration = Duration::from_millis(2500);

/// A configuration with the routes and services of the small deployment.
pub fn config() -> String {
    format!(
        r#"{{"version":7,"routes":[
{{"name":"r-jobs","host":"{HOST}","prefix":"{JOBS}","kind":"rollout","timeout_ms":10000,"target_latency_ms":400,"priority":0,"service":"{ENGINES}","max_attempts":3,"run_deadline_ms":7500,"item_ttl_s":40.0}},
{{"name":"r-judge","host":"{HOST}","prefix":"{JUDGES}","kind":"idempotent","timeout_ms":2000,"target_latency_ms":400,"priority":2,"service":"{DESK}","max_attempts":4}}],
"services":[
{{"name":"{ENGINES}","health_path":"/health","max_conns":150,"protocol":"h1","tls":false,"engine":{{"slots":8,"kv_cache_tokens":72728,"models":[{{"name":"{MODEL}"}}]}}}},
{{"name":"{DESK}","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":33554432,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

/// Configuration with two tenants, each with one key.
pub fn config_with_tenants() -> String {
    let tenants: Vec<String> = [TENANT_A, TENANT_B]
        .iter()
        .map(|name| format!(r#"{{"name":"{name}","api_keys":["{}"]}}"#, key(name)))
        .collect();
    let config = config();
    let rest = config.trim_start_matches('{');
    format!(r#"{{"tenants":[{}],{rest}"#, tenants.join(","))
}

pub const TENANT_A: &str = "hule930";
pub const TENANT_B: &str = "fida11";

/// Key of a tenant.
fn key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// A batch submission.
#[derive(Clone, Default)]
pub struct Batch {
    pub id: String,
    /// Name before the numbers of the items, if that isn't the id.
    pub item_name: Option<&'static str>,
    /// Tenant of the trainer, if there are tenants.
    pub tenant: Option<&'static str>,
    /// What the items ask for.
    pub prompt: String,
    pub step: u64,
    pub groups: usize,
    pub group_size: usize,
    /// Groups for which the trainer waits.
    pub groups_needed: usize,
    /// Headers of each item beside those that all have.
    pub headers: Vec<(String, String)>,
}

impl Batch {
    pub fn items(&self) -> Vec<String> {
        let (count, name) = (self.groups * self.group_size, self.item_name.unwrap_or(&self.id));
        (0..count).map(|number| format!("{name}-{number:03}")).collect()
    }

    fn body(&self) -> String {
        let items = self.items().into_iter().enumerate().map(|(number, id)| {
            let mut headers = vec![
                ("X-Model-Name".to_owned(), MODEL.to_owned()),
                ("X-Token-Usage".into(), "540,400".into()),
            ];
            headers.extend(self.headers.clone());
            let headers: Vec<String> = headers
                .iter()
                .map(|(name, value)| format!("{}:{}", quoted(name), quoted(value)))
                .collect();
            format!(
                r#"{{"id":"{id}","path":"{JOBS}3/91c4","headers":{{{}}},"body":"{}","tokens":940,"group":"g-{}-{}","scorer":{{"id":"{id}-s","host":"{HOST}","path":"{JUDGES}5e07","body":"3q2+7w=="}}}}"#,
                headers.join(","),
                base64::encode(format!("{} {id}", self.prompt).as_bytes()),
                self.id,
                number / self.group_size
            )
        });
        format!(
            r#"{{"step":{},"model":"{MODEL}","min_version":1,"group_count":{},"items":[{}]}}"#,
            self.step,
            self.groups_needed,
            items.collect::<Vec<_>>().join(",")
        )
    }
}

/// A result as read.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub item: String,
    pub state: String,
    pub text: String,
    pub score: String,
}

fn ready(nodes: &[Node], turn: usize) -> SocketAddr {
    let ready: Vec<&Node> = nodes.iter().filter(|node| node.is_ready()).collect();
    match ready.len() {
        0 => nodes[turn % nodes.len()].entry,
        count => ready[turn % count].entry,
    }
}

/// Makes a call of a trainer about its batch.
pub fn call(
    node: SocketAddr,
    (method, path): (&str, &str),
    batch: &Batch,
    body: &str,
) -> Option<Response> {
    let id = &*batch.id;
    let key = batch.tenant.map(key);
    let mut headers = vec![
        ("Host", HOST),
        ("X-Request-Id", id),
        ("Content-Type", "application/json"),
        ("X-Wait-Ms", "1000"),
        ("Connection", "close"),
    ];
    headers.extend(key.as_ref().map(|key| ("X-Api-Key", &**key)));
    http::call(node, (method, path), &headers, body.as_bytes(), TIMEOUT)
}

/// Submits a batch, again at another node until it is accepted. Returns whether it was in time.
pub fn submit(nodes: &Nodes, batch: &Batch, record: &Record) -> bool {
    let (body, end) = (batch.body(), Instant::now() + Duration::from_secs(10));
    for turn in 0.. {
        let response =
            call(ready(&nodes.all, turn), ("POST", &format!("{JOBS}7c41e0")), batch, &body);
        let status = response.map_or(0, |response| response.status);
        record.line(format!("submission {} of {} items: {status}", batch.id, batch.items().len()));
        if status == 202 {
            return true;
        }
        if Instant::now() > end {
            break;
        }
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Reads results until all are listed, `enough` says so or the time is over. Returns them in order.
pub fn read(
    nodes: &Nodes,
    batch: &Batch,
    time: Duration,
    record: &Record,
    enough: impl Fn(&[Row]) -> bool,
) -> Vec<Row> {
    let (mut rows, end): (Vec<Row>, _) = (Vec::new(), Instant::now() + time);
    let total = batch.items().len();
    for turn in 0.. {
        if rows.len() >= total || enough(&rows) || Instant::now() > end {
            break;
        }
        let path = format!("/lagoonyard/lots/{}?after={}", batch.id, rows.len());
        let response = call(ready(&nodes.all, turn), ("GET", &path), batch, "");
        let Some(response) = response.filter(|response| response.status == 200) else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let Some(page) = Json::parse(&response.body) else {
            continue;
        };
        for result in page.get("results").list() {
            let text = |name: &str| result.get(name).text().to_owned();
            rows.push(Row {
                item: text("id"),
                state: text("state"),
                text: text("text"),
                score: text("score"),
            });
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(format!("submission {}: {} of {total} results read", batch.id, rows.len()));
    rows
}

/// Number of complete groups among results.
pub fn complete_groups(batch: &Batch, rows: &[Row]) -> usize {
    let mut groups: BTreeMap<usize, usize> = BTreeMap::new();
    for row in rows {
        let number = row.item.rsplit('-').next().and_then(|number| number.parse::<usize>().ok());
        *groups.entry(number.unwrap_or(0) / batch.group_size).or_default() += 1;
    }
    groups.values().filter(|count| **count >= batch.group_size).count()
}

/// Ends a batch, again at another node until that is confirmed.
pub fn end(nodes: &Nodes, batch: &Batch, record: &Record) {
    for turn in 0..20 {
        let path = format!("/lagoonyard/lots/{}", batch.id);
        let response = call(ready(&nodes.all, turn), ("DELETE", &path), batch, "");
        let status = response.map_or(0, |response| response.status);
        record.line(format!("end of {}: {status}", batch.id));
        if status == 200 {
            return;
        }
        thread::sleep(Duration::from_millis(200));
    }
}
