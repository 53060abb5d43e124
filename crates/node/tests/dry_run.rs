//! Explanations of placements against the decisions that they explain.

mod common;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use common::ms;
use lagoonyard_node::{
    dry_run::{Answer, Candidate, Exclusion, Gate, Inputs, Plan, Question, Refusal, Subject},
    fleet::Target,
    job::{Engines, Queue},
    peer::{DryRun, DryRunReply, Kind, Request, Response},
    prefix::Settings,
    traffic::{Connection, Pool},
    view::View,
    workspace::{ApiKey, Credential},
};
use prost::Message;

const NOW: Duration = Duration::from_secs(1);
/// Prompts that take 400 ms to prefill.
const PROMPT_A: &[(&str, u32)] = &[("a", 4000)];
const PROMPT_B: &[(&str, u32)] = &[("b", 4000)];

fn exclusion<'a>(plan: &'a Plan, id: &str) -> Option<&'a Exclusion> {
    let find = |candidate: &&Candidate| *candidate.id == *id;
    plan.candidates.iter().find(find).unwrap().exclusion.as_ref()
}

fn explain(queue: &Queue, engines: &Engines, now: Duration) -> Plan {
    let mut plan = Plan::default();
    queue.explain("j", now, engines, &mut plan);
    plan
}

/// Guards against a pool whose explanation differs from its choice.
#[test]
fn pool_chooses_the_least_rank_that_it_shows() {
    let target = |id: &str, draining: bool| {
        let target = Target { zone: "a".into(), slots: 4, draining, ..common::engine(id, 1) };
        (target.id.clone(), Arc::new(target))
    };
    let targets = [("s1", false), ("s2", false), ("s3", true), ("s4", false), ("s5", false)];
    let targets: BTreeMap<_, _> = targets.map(|(id, draining)| target(id, draining)).into();
    let view = View { targets: Arc::new(targets), ..View::default() };
    let (mut pool, now) = (Pool::new("a".into()), Instant::now());
    for target in view.targets.values() {
        pool.start_request(target);
    }
    pool.record_response("s1", ms(400), now);
    pool.record_refusal("s4", now);
    pool.record_failure("s5", now);
    let tried = ["s2".into()];
    let connection = |_: &Target| Connection::New;
    let shown: BTreeMap<&str, _> = pool
        .weigh(&view, "llm", &tried, connection, now)
        .map(|(target, score)| (&*target.id, score))
        .collect();
    assert_eq!(shown["s3"], Err(Exclusion::Draining));
    assert_eq!(shown["s2"], Err(Exclusion::Tried));
    assert_eq!(shown["s4"].unwrap().avoided, Some(Exclusion::RefusedLately { left_ms: 60 }));
    assert_eq!(shown["s5"].unwrap().avoided, Some(Exclusion::FailedLately { left_ms: 300 }));
    assert_eq!(shown["s1"].unwrap().in_flight, 1);
    // It is the slowest one, and the only one that is not avoided.
    let chosen = pool.choose(&view, "llm", &tried, connection, now).unwrap();
    assert_eq!(&*chosen.id, "s1");
    let best = shown.iter().filter_map(|(id, score)| Some((score.ok()?.rank(), *id))).min();
    assert_eq!(best.unwrap().1, "s1");
}

/// Guards against an explanation that names another engine than the one that the item then gets, or that starts it.
#[test]
fn next_item_gets_the_engine_that_is_shown() {
    let targets = [
        common::engine("e1", 1),
        common::engine("e2", 2),
        Target { draining: true, ..common::engine("e3", 2) },
        common::engine("e4", 2),
        common::engine("e5", 2),
    ];
    let mut engines = common::engines(&targets);
    let mut queue = Queue::default();
    queue.insert(common::job("j", 2, &[("i1", 10), ("i2", 5), ("i3", 1)]));
    engines.advance(NOW);
    engines.back_off("e5", NOW);
    // The order of the engines for a model is set by the first item.
    let first = queue.assign_next(NOW, &mut engines).unwrap();
    assert_eq!(first.item, 0);
    for item in ["i2", "i3"] {
        let plan = explain(&queue, &engines, NOW);
        assert_eq!(plan, explain(&queue, &engines, NOW));
        let job = plan.job.as_ref().unwrap();
        assert_eq!(job.next_item.as_deref(), Some(item));
        assert_eq!((plan.wait.as_ref(), job.jobs_ahead), (None, 0));
        assert_eq!(plan.candidates[0].id, *plan.chosen.as_ref().unwrap());
        assert_eq!(exclusion(&plan, "e1"), Some(&Exclusion::Outdated { version: 1, min: 2 }));
        assert_eq!(exclusion(&plan, "e3"), Some(&Exclusion::Draining));
        assert_eq!(exclusion(&plan, "e5"), Some(&Exclusion::BackingOff));
        let assignment = queue.assign_next(NOW, &mut engines).unwrap();
        assert_eq!(assignment.target, plan.chosen);
    }
    let plan = explain(&queue, &engines, NOW);
    assert_eq!((plan.chosen, plan.job.unwrap().next_item), (None, None));
    assert!(plan.wait.is_some());
}

/// Guards against an explanation that leaves out what engines hold of prompts.
#[test]
fn cached_prompts_count_as_they_do_for_a_start() {
    let targets = ["e1", "e2", "e3"].map(|id| common::engine(id, 1));
    let mut engines = common::engines(&targets);
    engines.enable_prefixes(Settings { tokens_per_ms: 10.0 });
    let mut queue = Queue::default();
    let items = [("i1", PROMPT_A), ("i2", PROMPT_B), ("i3", PROMPT_A), ("i4", PROMPT_B)];
    queue.insert(common::prompted_job("j", 10, &items));
    let mut targets = vec![queue.assign_next(NOW, &mut engines).unwrap().target.unwrap()];
    for _ in 1..items.len() {
        let plan = explain(&queue, &engines, NOW);
        let expected = |candidate: &Candidate| match &candidate.inputs {
            Inputs::Engine(engine) => engine.expected.unwrap(),
            Inputs::Target(_) => panic!(),
        };
        let open = plan.candidates.iter().filter(|candidate| candidate.exclusion.is_none());
        let least = open.map(expected).min().unwrap();
        assert_eq!(expected(&plan.candidates[0]), least, "{plan}");
        let target = queue.assign_next(NOW, &mut engines).unwrap().target;
        assert_eq!(target, plan.chosen);
        targets.extend(target);
    }
    // Both items with the prompt are on one engine, although another one runs nothing.
    assert_eq!(targets[0], targets[2]);
    assert_eq!(targets[1], targets[3]);
}

/// Guards against an explanation before the job's first item has started, and against one without a reason.
#[test]
fn item_without_an_engine_shows_why_it_waits() {
    let mut engines = common::engines(&[common::engine("e1", 1), common::engine("e2", 1)]);
    let mut queue = Queue::default();
    queue.insert(common::job("j", 2, &[("i1", 10)]));
    for _ in 0..2 {
        let plan = explain(&queue, &engines, NOW);
        assert_eq!(&*plan.wait.as_ref().unwrap().reason, "no_version");
        assert_eq!(plan.job.as_ref().unwrap().next_item.as_deref(), Some("i1"));
        assert_eq!(exclusion(&plan, "e2"), Some(&Exclusion::Outdated { version: 1, min: 2 }));
        assert!(queue.assign_next(NOW, &mut engines).is_none());
    }
    let Inputs::Engine(inputs) = &engines.explain(NOW)[0].inputs else { panic!() };
    assert_eq!((inputs.expected, inputs.versions.len()), (None, 1));
}

/// Guards against a message that shows a key, and against one that is read as something else.
#[test]
fn question_passes_with_the_digest_of_its_key() {
    let credential = Credential::Key(ApiKey::try_from(&b"secret-1"[..]).unwrap());
    let request = || Subject::Request { host: "h".into(), path: "/p/".into(), id: "r".into() };
    for (subject, credential) in [
        (request(), credential),
        (request(), Credential::Missing),
        (Subject::Job("j".into()), credential),
    ] {
        let question = Question { subject, credential };
        let kind = Kind::DryRun(question.clone().into());
        let bytes = Request { kind: Some(kind) }.encode_to_vec();
        assert!(!bytes.windows(8).any(|part| part == b"secret-1"));
        let Some(Kind::DryRun(message)) = Request::decode(&*bytes).unwrap().kind else { panic!() };
        assert!(!format!("{message:?}").contains("secret"));
        assert_eq!(Question::from(message), question);
    }
    let odd = DryRun { key: Some("short".into()), ..DryRun::default() };
    assert_eq!(Question::from(odd).credential, Credential::Malformed);
    // A host of an earlier build does not serve what it does not know.
    assert!(!Response::not_served().served);
}

#[test]
fn answers_pass_and_others_are_not_read() {
    let mut plan = Plan { chosen: Some("e1".into()), ..Plan::default() };
    plan.candidates = common::engines(&[common::engine("e1", 1)]).explain(NOW);
    for answer in [
        Answer::Plan(Box::new(plan)),
        Answer::Refused(Refusal::Behind { age_ms: 7 }),
        Answer::Refused(Refusal::Elsewhere { leaders: vec![([127, 0, 0, 1], 1).into()] }),
    ] {
        let bytes = DryRunReply::new(&answer).encode_to_vec();
        assert_eq!(DryRunReply::decode(&*bytes).unwrap().answer(), Some(answer));
    }
    let other = DryRunReply { build: "9".into(), answer: "{\"novel\":{}}".into() };
    assert_eq!(other.answer(), None);
}

/// Guards against unbounded work and answers.
#[test]
fn dry_runs_and_their_candidates_are_bounded() {
    let gate = Gate::default();
    let slots: Vec<_> = (0..4).map(|_| gate.enter().unwrap()).collect();
    assert!(gate.enter().is_none());
    drop(slots);
    assert!(gate.enter().is_some());
    let targets: Vec<Target> = (0..100).map(|at| common::engine(&format!("e{at}"), 1)).collect();
    let candidates = common::engines(&targets).explain(NOW);
    let mut plan = Plan { candidates, ..Plan::default() };
    plan.truncate();
    assert_eq!((plan.candidates.len(), plan.omitted), (64, 36));
    assert!(plan.to_string().contains("and 36 others"));
}
