//! Guards against a call that is served without a key of its workspace, or under the name of another one.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use lagoonyard_node::{
    config::{Config, Kind, Limits, Route},
    job::Record,
    workspace::{Ambiguity, ApiKey, Caller, Credential, Directory, Entry, Refusal, admit},
};

fn key(text: &str) -> ApiKey {
    ApiKey::try_from(text.as_bytes()).unwrap()
}

fn entry(name: &str, keys: &[&str], priority: Option<u32>) -> Entry {
    Entry { name: name.into(), keys: keys.iter().map(|text| key(text)).collect(), priority }
}

fn directory(entries: Vec<Entry>) -> Directory {
    Directory::new(entries).0
}

/// Guards against a key that is shown in a log line, by itself or as part of what contains it.
#[test]
fn a_key_is_never_shown() {
    let all = directory(vec![entry("a", &["secret-1"], None)]);
    let texts = [
        format!("{:?}", key("secret-1")),
        format!("{:?}", Credential::Key(key("secret-1"))),
        format!("{:?}", entry("a", &["secret-1"], None)),
        format!("{all:?}"),
    ];
    let digest = "0x";
    for text in texts {
        assert!(!text.contains("secret") && !text.contains(digest), "{text}");
    }
    assert!(ApiKey::try_from(&b"two words"[..]).unwrap_err().to_string().find("two").is_none());
}

#[test]
fn text_that_no_header_can_hold_is_no_key() {
    for text in [&b""[..], b"a b", b" a", b"a\t", b"a\xff", b"a\0"] {
        assert_matches!(ApiKey::try_from(text), Err(_), "{text:?}");
    }
}

#[test]
fn a_call_belongs_to_the_workspace_of_its_key() {
    let all = directory(vec![entry("a", &["k1", "k2"], Some(3)), entry("b", &["k3"], None)]);
    for (text, name, priority) in [("k1", "a", Some(3)), ("k2", "a", Some(3)), ("k3", "b", None)] {
        let caller = admit(Some(&all), Credential::Key(key(text)));
        assert_matches!(caller, Ok(Caller::Member(workspace))
            if &*workspace.name == name && workspace.priority == priority);
    }
}

#[test]
fn a_call_without_a_known_key_is_refused() {
    let all = directory(vec![entry("a", &["k1"], None)]);
    for credential in [Credential::Missing, Credential::Duplicated, Credential::Malformed] {
        assert_eq!(admit(Some(&all), credential), Err(Refusal::NoKey));
    }
    // Keys that begin or end like a known one.
    for text in ["k", "k1x", "K1"] {
        assert_eq!(admit(Some(&all), Credential::Key(key(text))), Err(Refusal::UnknownKey));
    }
    assert_eq!(
        admit(Some(&Directory::default()), Credential::Key(key("k1"))),
        Err(Refusal::UnknownKey),
        "an empty list of workspaces admits nobody"
    );
    assert_eq!(admit(None, Credential::Missing), Ok(Caller::Any), "there are no workspaces");
}

/// Guards against a key with which a caller gets into either of two workspaces.
#[test]
fn the_first_of_two_workspaces_keeps_a_key() {
    let entries = vec![
        entry("a", &["both", "both", "also"], None),
        entry("b", &["both", "own", "also"], None),
        entry("a", &["more"], Some(1)),
    ];
    let (all, ambiguities) = Directory::new(entries);
    let ambiguity = Ambiguity { kept_by: "a".into(), lost_by: "b".into() };
    assert_eq!(ambiguities, [ambiguity], "told once, and not for a key listed twice by one");
    let name = |text: &str| all.find(&key(text)).map(|workspace| &*workspace.name);
    assert_eq!(name("both"), Some("a"));
    assert_eq!(name("own"), Some("b"));
    assert_eq!(name("more"), Some("a"), "both entries of a name give keys");
    assert_eq!(all.named("a").unwrap().priority, None, "the first entry gives the priority");
}

fn config(public: bool, workspaces: Option<Directory>) -> Config {
    let limits = Limits { header_bytes: 1, body_bytes: 1, idle_timeout: Duration::from_secs(1) };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/p/".into(),
        kind: Kind::Job,
        timeout: Duration::from_secs(2),
        objective: Duration::from_millis(400),
        max_attempts: 2,
        priority: 2,
        services: vec![("llm".into(), 1)],
        job_deadline: Duration::from_secs(2),
        item_ttl: Duration::from_secs(2),
        single_version: false,
        public,
    };
    Config::new(5, vec![route], Vec::new(), limits).with_workspaces(workspaces)
}

/// Guards against a job that loses the priority of its workspace with the next configuration.
#[test]
fn the_priority_of_a_workspace_goes_before_that_of_the_route() {
    let all = || directory(vec![entry("a", &["k1"], Some(7)), entry("b", &["k2"], None)]);
    let priority = |workspace: Option<&str>, workspaces: Option<Directory>| {
        let accepted = Some(lagoonyard_node::job::Policy { priority: 4, ..common::policy() });
        let record = Record {
            host: "h".into(),
            path: "/p/1".into(),
            service: "llm".into(),
            submitted_ms: 0,
            total: 0,
            parts: 0,
            ended: false,
            policy: accepted,
            workspace: workspace.map(Into::into),
        };
        config(false, workspaces).job_policy(&record).unwrap().priority
    };
    assert_eq!(priority(Some("a"), Some(all())), 7);
    assert_eq!(priority(Some("b"), Some(all())), 2, "the workspace has none");
    assert_eq!(priority(None, Some(all())), 2);
    assert_eq!(priority(Some("gone"), Some(all())), 4, "a removed workspace: as accepted");
    assert_eq!(priority(Some("a"), None), 4);
}

/// Guards against an item without a workspace that a runner sends to an engine, and against items that are refused where
/// nothing asks for a workspace.
#[test]
fn items_need_a_workspace_unless_their_route_is_public() {
    let all = || Some(Directory::default());
    assert!(config(false, all()).needs_workspace("h", "/p/1"));
    assert!(config(false, all()).needs_workspace("h", "/other/1"), "no route");
    assert!(!config(true, all()).needs_workspace("h", "/p/1"));
    assert!(!config(false, None).needs_workspace("h", "/p/1"));
}
