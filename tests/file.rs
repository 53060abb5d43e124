//! Guards against a file that is accepted with faults, and against faults that are not reported.

use lagoonyard::file;
use serde_json::{Value, json};

const HUON: &str = include_str!("../docs/examples/huon.json");
const CARONI: &str = include_str!("../docs/examples/caroni.json");

fn faults(change: impl Fn(&mut Value)) -> Vec<Box<str>> {
    let mut value: Value = serde_json::from_str(HUON).unwrap();
    change(&mut value["yards"]["huon"]);
    let error = file::parse(value.to_string().as_bytes(), 1).unwrap_err();
    assert_eq!(error.code().to_string(), "LY-102");
    error.faults()
}

#[test]
fn examples_are_valid() {
    let huon = file::parse(HUON.as_bytes(), 3).unwrap();
    assert_eq!(huon.revision, 3);
    assert!(!huon.services["entry-desk"].routes[0].idempotent);
    let caroni = file::parse(CARONI.as_bytes(), 1).unwrap();
    assert_eq!(caroni.trainers["soot"].objective, file::Objective::Staleness);
    assert_eq!(caroni.models["soot-llm"].limits.attempts, 3);
}

#[test]
fn every_bad_reference_and_bound_is_listed_with_its_path() {
    let found = faults(|yard| {
        yard["trainers"]["blurb"]["model"] = json!("x");
        yard["trainers"]["blurb"]["zone"] = json!("mars");
        yard["pools"]["blurb-engines"]["slots"] = json!(0);
        yard["pools"]["entry-desk-workers"]["model"] = json!("blurb-writer");
        yard["services"]["entry-desk"]["routes"][0]["prefix"] = json!("entries");
        yard["limits"]["bulk_share_percent"] = json!(101);
    });
    let found: Vec<&str> = found.iter().map(|fault| &**fault).collect();
    assert_eq!(found.len(), 6, "{found:?}");
    assert!(found.contains(&"yards.huon.trainers.blurb.model: no model \"x\" in this yard"));
    assert!(found.contains(&"yards.huon.trainers.blurb.zone: no zone \"mars\" in this yard"));
    assert!(found.contains(&"yards.huon.pools.blurb-engines.slots: 0 is not in 1 to 4096"));
    assert!(found.contains(&"yards.huon.limits.bulk_share_percent: 101 is not in 0 to 100"));
}

#[test]
fn every_structure_fault_is_listed_with_its_path() {
    let found = faults(|yard| {
        yard["limits"]["deadline"] = json!("30s");
        yard["pools"]["blurb-engines"]["slots"] = json!("many");
        yard["models"]["blurb-writer"]["load_timeout_s"] = json!(60);
        yard["trainers"]["blurb"].as_object_mut().unwrap().remove("zone");
    });
    assert_eq!(found.len(), 4, "{found:?}");
    let of = |path: &str| found.iter().find(|fault| fault.starts_with(path)).unwrap();
    assert!(of("yards.huon.limits.deadline:").contains("unknown field"));
    assert!(of("yards.huon.pools.blurb-engines.slots:").contains("invalid type"));
    assert!(of("yards.huon.models.blurb-writer.load_timeout_s:").contains("unknown field"));
    assert!(of("yards.huon.trainers.blurb:").contains("missing field `zone`"));
}

#[test]
fn names_are_unique_across_all_yards() {
    let mut value: Value = serde_json::from_str(HUON).unwrap();
    value["yards"]["other"] = value["yards"]["huon"].clone();
    let found = file::parse(value.to_string().as_bytes(), 1).unwrap_err().faults();
    assert_eq!(found.len(), 5, "{found:?}");
    assert!(
        &*found[0]
            == "yards.other.models.blurb-writer: name is already used by yards.huon.models.blurb-writer"
    );
}

#[test]
fn a_duplicate_name_is_rejected() {
    let error = file::parse(br#"{"yards": {"a": {"zones": ["z"]}, "a": {"zones": ["y"]}}}"#, 1)
        .unwrap_err();
    assert!(error.faults()[0].contains("duplicate name \"a\""), "{error}");
}

#[test]
fn invalid_json_is_malformed() {
    for text in ["", "{", "{\"yards\": {}} x", "\u{0}"] {
        assert_eq!(file::parse(text.as_bytes(), 1).unwrap_err().code().to_string(), "LY-101");
    }
}

#[test]
fn diff_lists_each_change() {
    let old = file::parse(HUON.as_bytes(), 1).unwrap();
    let new = HUON.replace("\"slots\": 16", "\"slots\": 24");
    let new = file::parse(new.as_bytes(), 2).unwrap();
    assert_eq!(file::diff(&old, &new), ["~ pools.blurb-engines.slots = 24 (was 16)".into()]);
    assert!(file::diff(&old, &file::Snapshot::default()).iter().all(|line| line.starts_with("- ")));
}
