//! JSON messages of the etcd v3 gateway.
//!
//! Field names are accepted in snake and camel case. Bytes are base64 text, and 64-bit numbers are strings (requests
//! may also use JSON numbers). Requests are converted to the operations of `store`, results of the store to responses.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, de};
use serde_json::{Map, Value, json};

use crate::store::{Change, Compare, Entry, Error, Field, Op, Outcome, Relation, Span};

/// Operations in one branch of a transaction; etcd's default limit.
const OPS_MAX: usize = 128;

/// Bytes that are base64 text in JSON.
#[derive(Clone, Debug, Default)]
pub struct Base64(pub Bytes);

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(from)?;
        let bytes = BASE64_STANDARD.decode(&*text).map_err(de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// 64-bit number that is a string or a number in JSON.
#[derive(Clone, Copy, Debug, Default)]
pub struct Int64(pub i64);

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Number(i64),
            Text(Box<str>),
        }
        match Either::deserialize(from)? {
            Either::Number(number) => Ok(Self(number)),
            Either::Text(text) => text.parse().map(Self).map_err(de::Error::custom),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Range {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    pub limit: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    pub key: Base64,
    pub value: Base64,
    pub lease: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRange {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Condition {
    pub key: Base64,
    pub target: Box<str>,
    pub result: Box<str>,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int64,
    #[serde(alias = "createRevision")]
    pub create_revision: Int64,
    pub version: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct RequestOp {
    #[serde(alias = "requestRange")]
    pub request_range: Option<Range>,
    #[serde(alias = "requestPut")]
    pub request_put: Option<Put>,
    #[serde(alias = "requestDeleteRange")]
    pub request_delete_range: Option<DeleteRange>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Txn {
    pub compare: Vec<Condition>,
    pub success: Vec<RequestOp>,
    pub failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Lease {
    #[serde(rename = "ID")]
    pub id: Int64,
    #[serde(rename = "TTL")]
    pub ttl: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Base64,
    #[serde(alias = "rangeEnd")]
    pub range_end: Base64,
    #[serde(alias = "startRevision")]
    pub start_revision: Int64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Watch {
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

impl From<Range> for Op {
    fn from(raw: Range) -> Self {
        Self::Range {
            span: span(raw.key, raw.range_end),
            limit: usize::try_from(raw.limit.0).unwrap_or(0),
        }
    }
}

impl From<Put> for Op {
    fn from(raw: Put) -> Self {
        Self::Put { key: raw.key.0, value: raw.value.0, lease: raw.lease.0 }
    }
}

impl From<DeleteRange> for Op {
    fn from(raw: DeleteRange) -> Self {
        Self::Delete { span: span(raw.key, raw.range_end) }
    }
}

impl TryFrom<RequestOp> for Op {
    type Error = &'static str;

    fn try_from(raw: RequestOp) -> Result<Self, Self::Error> {
        match (raw.request_range, raw.request_put, raw.request_delete_range) {
            (Some(range), None, None) => Ok(range.into()),
            (None, Some(put), None) => Ok(put.into()),
            (None, None, Some(delete)) => Ok(delete.into()),
            _ => Err("expected one of request_range, request_put, request_delete_range"),
        }
    }
}

impl TryFrom<Condition> for Compare {
    type Error = &'static str;

    fn try_from(raw: Condition) -> Result<Self, Self::Error> {
        let (field, operand) = match &*raw.target {
            "" | "VERSION" => (Field::Version, raw.version),
            "CREATE" => (Field::CreateRevision, raw.create_revision),
            "MOD" => (Field::ModRevision, raw.mod_revision),
            _ => return Err("compare target must be VERSION, CREATE or MOD"),
        };
        let relation = match &*raw.result {
            "" | "EQUAL" => Relation::Equal,
            "GREATER" => Relation::Greater,
            "LESS" => Relation::Less,
            "NOT_EQUAL" => Relation::NotEqual,
            _ => return Err("compare result must be EQUAL, GREATER, LESS or NOT_EQUAL"),
        };
        Ok(Self { key: raw.key.0, field, relation, operand: operand.0 })
    }
}

/// Converts the operations of one branch of a transaction.
pub fn parse_ops(raw: Vec<RequestOp>) -> Result<Vec<Op>, &'static str> {
    if raw.len() > OPS_MAX {
        return Err("too many operations in txn request");
    }
    raw.into_iter().map(Op::try_from).collect()
}

pub fn span(key: Base64, end: Base64) -> Span {
    Span { start: key.0, end: end.0 }
}

/// Header of each response.
pub fn header(revision: i64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Response to one operation. Zero values are omitted, as in protobuf's JSON mapping.
pub fn op_response(outcome: &Outcome, revision: i64) -> Value {
    let mut fields = Map::new();
    fields.insert("header".into(), header(revision));
    match outcome {
        Outcome::Range { rows, count } => {
            if *count > 0 {
                let rows: Vec<Value> =
                    rows.iter().map(|(key, entry)| key_value(key, Some(entry))).collect();
                fields.insert("more".into(), (rows.len() < *count).into());
                fields.insert("kvs".into(), rows.into());
                fields.insert("count".into(), count.to_string().into());
            }
        }
        Outcome::Put => {}
        Outcome::Delete { deleted } => {
            if *deleted > 0 {
                fields.insert("deleted".into(), deleted.to_string().into());
            }
        }
    }
    fields.into()
}

/// Response to a transaction.
pub fn txn_response(succeeded: bool, outcomes: &[Outcome], revision: i64) -> Value {
    let name = |outcome: &Outcome| match outcome {
        Outcome::Range { .. } => "response_range",
        Outcome::Put => "response_put",
        Outcome::Delete { .. } => "response_delete_range",
    };
    let responses: Vec<Value> =
        outcomes.iter().map(|one| json!({name(one): op_response(one, revision)})).collect();
    let mut answer = json!({"header": header(revision), "responses": responses});
    if succeeded {
        answer["succeeded"] = true.into();
    }
    answer
}

/// Event of a watch.
pub fn event(change: &Change) -> Value {
    match &change.after {
        Some(entry) => json!({"kv": key_value(&change.key, Some(entry))}),
        None => {
            json!({"type": "DELETE", "kv": {"key": BASE64_STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string()}})
        }
    }
}

/// Message and gRPC code of a store error.
pub fn error_status(error: Error) -> (&'static str, u32) {
    match error {
        Error::ValueTooLarge => ("etcdserver: request is too large", 3),
        Error::SpaceExceeded => ("etcdserver: mvcc: database space exceeded", 8),
        Error::LeaseNotFound => ("etcdserver: requested lease not found", 5),
        Error::LeaseExists => ("etcdserver: lease already exists", 9),
        Error::Compacted => ("etcdserver: mvcc: required revision has been compacted", 11),
    }
}

fn key_value(key: &Bytes, entry: Option<&Entry>) -> Value {
    let mut fields = json!({"key": BASE64_STANDARD.encode(key)});
    if let Some(entry) = entry {
        fields["create_revision"] = entry.create_revision.to_string().into();
        fields["mod_revision"] = entry.mod_revision.to_string().into();
        fields["version"] = entry.version.to_string().into();
        fields["value"] = BASE64_STANDARD.encode(&entry.value).into();
        if entry.lease != 0 {
            fields["lease"] = entry.lease.to_string().into();
        }
    }
    fields
}
