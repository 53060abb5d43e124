//! Guards against a call that is served without a key of its workspace, or under the name of another one.

mod common;

use std::time::Duration;

use assert_matches::assert_matches;
use lagoonyard_node::{
    config::{Config, Kind, Limits, Route},
    job::Record,
    workspace::{
        Ambiguity, ApiKey, Bounds, Caller, Credential, Directory, Entry, Knowledge, Refusal,
        Upkeep, admit,
    },
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

const LAX: Bounds = Bounds { apply: Duration::from_secs(3), strict: None };
const STRICT: Bounds = Bounds { strict: Some(Duration::from_secs(5)), ..LAX };

fn admit_at(
    directory: Option<&Directory>,
    credential: Credential,
    age: Duration,
) -> Result<Caller, Refusal> {
    admit(directory, credential, age, &LAX)
}

/// Guards against a key or its digest in a log line, by itself or as part of what contains it.
#[test]
fn a_key_is_never_shown() {
    let texts = |text: &str| {
        [
            format!("{:?}", key(text)),
            format!("{:?}", Credential::Key(key(text))),
            format!("{:?}", entry("a", &[text], None)),
            format!("{:?}", directory(vec![entry("a", &[text], None)])),
        ]
    };
    // A text that is the same for two keys shows neither a key nor a digest in any notation.
    assert_eq!(texts("secret-1"), texts("secret-2"));
    for text in texts("secret-1") {
        assert!(!text.contains("secret") && !text.contains("0x"), "{text}");
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
        let caller = admit_at(Some(&all), Credential::Key(key(text)), Duration::ZERO);
        assert_matches!(caller, Ok(Caller::Member(workspace))
            if &*workspace.name == name && workspace.priority == priority);
    }
}

#[test]
fn a_call_without_a_known_key_is_refused() {
    let all = directory(vec![entry("a", &["k1"], None)]);
    for credential in [Credential::Missing, Credential::Duplicated, Credential::Malformed] {
        assert_eq!(admit_at(Some(&all), credential, Duration::ZERO), Err(Refusal::NoKey));
    }
    // Keys that begin or end like a known one.
    for text in ["k", "k1x", "K1"] {
        assert_eq!(
            admit_at(Some(&all), Credential::Key(key(text)), Duration::ZERO),
            Err(Refusal::UnknownKey)
        );
    }
    assert_eq!(
        admit_at(Some(&Directory::default()), Credential::Key(key("k1")), Duration::ZERO),
        Err(Refusal::UnknownKey),
        "an empty list of workspaces admits nobody"
    );
    assert_eq!(
        admit_at(None, Credential::Missing, Duration::MAX),
        Ok(Caller::Any),
        "there are no workspaces"
    );
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

/// Guards against a revoked key that a host without news admits for too long, and against a new key that it calls unknown.
#[test]
fn an_old_configuration_neither_admits_strictly_nor_tells_that_a_key_is_unknown() {
    let all = directory(vec![entry("a", &["k1"], None)]);
    let outcome = |credential, age_ms, bounds: &Bounds| match admit(
        Some(&all),
        credential,
        Duration::from_millis(age_ms),
        bounds,
    ) {
        Ok(caller) => caller.workspace().unwrap().name.to_string(),
        Err(refusal) => refusal.name().to_owned(),
    };
    let (known, new) = (Credential::Key(key("k1")), Credential::Key(key("k2")));
    let cases = [
        (0, ["a", "unknown_key", "no_key"], ["a", "unknown_key", "no_key"]),
        (3_000, ["a", "unknown_key", "no_key"], ["a", "unknown_key", "no_key"]),
        (3_001, ["a", "behind", "behind"], ["a", "behind", "behind"]),
        (3_999, ["a", "behind", "behind"], ["a", "behind", "behind"]),
        (4_000, ["a", "behind", "behind"], ["behind", "behind", "behind"]),
    ];
    for (age_ms, lax, strict) in cases {
        let outcomes =
            |bounds| [known, new, Credential::Missing].map(|it| outcome(it, age_ms, bounds));
        assert_eq!(
            (outcomes(&LAX), outcomes(&STRICT)),
            (lax.map(str::to_owned), strict.map(str::to_owned)),
            "{age_ms}"
        );
    }
}

/// Guards against an age that stays small while nothing is heard of the configuration, as a watch hangs, and against one that
/// stays small without a proof where revocation is strict.
#[test]
fn only_a_proof_counts_where_revocation_is_strict() {
    let (now, at) = (Duration::from_secs(100), Duration::from_secs(90));
    let known = |proven_at, heard_at| Knowledge { proven_at, heard_at };
    let ages = |knowledge| [LAX.age(knowledge, now), STRICT.age(knowledge, now)];
    let ten = Duration::from_secs(10);
    assert_eq!(ages(known(Some(at), Some(now))), [Duration::ZERO, ten]);
    assert_eq!(ages(known(Some(at), Some(at))), [ten, ten]);
    assert_eq!(ages(known(Some(at), None)), [ten, ten]);
    assert_eq!(ages(known(None, Some(at))), [ten, Duration::MAX]);
    assert_eq!(ages(Knowledge::default()), [Duration::MAX; 2]);
    let wait = assert_matches!(LAX.upkeep(), Upkeep::Watches(wait) => wait);
    // Two waits of a reader and one of a host that asks it, with the pauses between them.
    assert!(wait * 3 <= LAX.apply / 2, "{wait:?}");
    let renewal = assert_matches!(STRICT.upkeep(), Upkeep::Renewal(interval) => interval);
    assert!(renewal <= Duration::from_millis(1250), "at least four times within the bound");
}
