//! JSON of the published etcd v3 gateway: names in snake or camel case, bytes in base64, 64-bit numbers as strings.

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer, de};
use serde_json::{Map, Value, json};

use crate::store::{Change, Compare, Entry, Fault, Field, Op, Outcome, Relation, Span};

/// Most operations in one transaction, as etcd limits them.
const OPS_MAX: usize = 128;

/// Base64 text.
#[derive(Clone, Debug, Default)]
pub struct Data(pub Bytes);

impl<'de> Deserialize<'de> for Data {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = Box::<str>::deserialize(from)?;
        let bytes = BASE64_STANDARD.decode(&*text).map_err(de::Error::custom)?;
        Ok(Self(bytes.into()))
    }
}

/// Number that comes as a string or as a number.
#[derive(Clone, Copy, Debug, Default)]
pub struct Int(pub i64);

impl<'de> Deserialize<'de> for Int {
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
    pub key: Data,
    #[serde(alias = "rangeEnd")]
    pub range_end: Data,
    pub limit: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Put {
    pub key: Data,
    pub value: Data,
    pub lease: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct DeleteRange {
    pub key: Data,
    #[serde(alias = "rangeEnd")]
    pub range_end: Data,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct Condition {
    pub key: Data,
    pub target: Box<str>,
    pub result: Box<str>,
    #[serde(alias = "modRevision")]
    pub mod_revision: Int,
    #[serde(alias = "createRevision")]
    pub create_revision: Int,
    pub version: Int,
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
    pub id: Int,
    #[serde(rename = "TTL")]
    pub ttl: Int,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    pub key: Data,
    #[serde(alias = "rangeEnd")]
    pub range_end: Data,
    #[serde(alias = "startRevision")]
    pub start_revision: Int,
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
        let (field, number) = match &*raw.target {
            "" | "VERSION" => (Field::Version, raw.version),
            "CREATE" => (Field::Created, raw.create_revision),
            "MOD" => (Field::Modified, raw.mod_revision),
            _ => return Err("compare target must be VERSION, CREATE or MOD"),
        };
        let relation = match &*raw.result {
            "" | "EQUAL" => Relation::Equal,
            "GREATER" => Relation::Greater,
            "LESS" => Relation::Less,
            "NOT_EQUAL" => Relation::NotEqual,
            _ => return Err("compare result must be EQUAL, GREATER, LESS or NOT_EQUAL"),
        };
        Ok(Self { key: raw.key.0, field, relation, number: number.0 })
    }
}

/// Checked operations of one branch.
pub fn branch(raw: Vec<RequestOp>) -> Result<Vec<Op>, &'static str> {
    if raw.len() > OPS_MAX {
        return Err("too many operations in txn request");
    }
    raw.into_iter().map(Op::try_from).collect()
}

pub fn span(key: Data, end: Data) -> Span {
    Span { start: key.0, end: end.0 }
}

/// Header of an answer.
pub fn header(revision: i64) -> Value {
    json!({"cluster_id": "1", "member_id": "1", "revision": revision.to_string(), "raft_term": "1"})
}

/// Answer to one operation; zero values are left out, as protobuf's JSON form does.
pub fn outcome(outcome: &Outcome, revision: i64) -> Value {
    let mut fields = Map::new();
    fields.insert("header".into(), header(revision));
    match outcome {
        Outcome::Range { rows, count } => {
            if *count > 0 {
                let rows: Vec<Value> =
                    rows.iter().map(|(key, entry)| pair(key, Some(entry))).collect();
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

/// Answer to a transaction.
pub fn transaction(succeeded: bool, outcomes: &[Outcome], revision: i64) -> Value {
    let name = |outcome: &Outcome| match outcome {
        Outcome::Range { .. } => "response_range",
        Outcome::Put => "response_put",
        Outcome::Delete { .. } => "response_delete_range",
    };
    let responses: Vec<Value> =
        outcomes.iter().map(|one| json!({name(one): outcome(one, revision)})).collect();
    let mut answer = json!({"header": header(revision), "responses": responses});
    if succeeded {
        answer["succeeded"] = true.into();
    }
    answer
}

/// One event of a watch.
pub fn event(change: &Change) -> Value {
    match &change.after {
        Some(entry) => json!({"kv": pair(&change.key, Some(entry))}),
        None => {
            json!({"type": "DELETE", "kv": {"key": BASE64_STANDARD.encode(&change.key),
                "mod_revision": change.revision.to_string()}})
        }
    }
}

/// Text of a fault and its gRPC code.
pub fn fault(fault: Fault) -> (&'static str, u32) {
    match fault {
        Fault::TooLarge => ("etcdserver: request is too large", 3),
        Fault::Full => ("etcdserver: mvcc: database space exceeded", 8),
        Fault::LeaseNotFound => ("etcdserver: requested lease not found", 5),
        Fault::Compacted => ("etcdserver: mvcc: required revision has been compacted", 11),
    }
}

fn pair(key: &Bytes, entry: Option<&Entry>) -> Value {
    let mut fields = json!({"key": BASE64_STANDARD.encode(key)});
    if let Some(entry) = entry {
        fields["create_revision"] = entry.created.to_string().into();
        fields["mod_revision"] = entry.modified.to_string().into();
        fields["version"] = entry.version.to_string().into();
        fields["value"] = BASE64_STANDARD.encode(&entry.value).into();
        if entry.lease != 0 {
            fields["lease"] = entry.lease.to_string().into();
        }
    }
    fields
}
