//! Replays of load against the decisions of autoscaling. They guard against steps without capacity, needless or missing
//! orders, and orders outside the bounds.

#[path = "../common/mod.rs"]
mod common;
mod replay;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use lagoonyard_node::{
    fleet::Target,
    job::Leaving,
    scale::{
        CallResult, Inputs, Kind, Need, Pacer, Peak, Pool, Present, Scaler, Turn, ZoneOffer, plan,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use replay::{BOOT, Replay, bounds, pool, secs};

const SEEDS: u64 = 60;

/// Steps of the trainers: one of 60 items of 1 s each, every 5 s, due after 7.5 s.
fn with_steps(replay: &mut Replay) {
    replay.step_every(secs(5), 60);
}

/// Guards against a step load that is served late or only in one zone, and against a call for each small change.
#[test]
fn a_step_load_gets_spot_targets_in_several_zones_with_few_calls() {
    let mut replay = Replay::new(bounds(1, 10), 1);
    replay.run(secs(5));
    assert_eq!(replay.calls, 0, "the targets of the start meet the lower bound");
    with_steps(&mut replay);
    replay.run(secs(5));
    assert!(replay.ready_slots() >= replay.slots_needed(), "{} slots", replay.ready_slots());
    replay.run(secs(10));
    let late_steps = replay.late_steps;
    assert!(replay.calls <= 6, "{} calls while the load grows", replay.calls);
    replay.run(secs(60));
    assert_eq!(replay.late_steps, late_steps, "steps are late only until targets have booted");
    let spots = replay.ready_of(Kind::Spot);
    assert!(spots.iter().filter(|count| **count > 0).count() >= 2, "{spots:?}");
    assert_eq!(replay.ready_of(Kind::OnDemand), [1, 1, 1], "spot targets are cheaper");
    assert!(replay.slots_after_loss() >= replay.slots_needed(), "the loss of a zone is covered");
    assert!(replay.calls <= 12, "{} calls in all", replay.calls);
}

/// Guards against a step that comes after a long pause, at its known time, and finds no targets.
#[test]
fn targets_are_ready_before_a_step_that_recurs_after_a_pause() {
    let mut replay = Replay::new(bounds(0, 10), 1);
    replay.step_every(secs(90), 60);
    replay.run(secs(150));
    let (late_steps, low) = (replay.late_steps, replay.ready_of(Kind::Spot));
    assert_eq!(low, [0, 0, 0], "the pause is longer than the hold time");
    replay.run(secs(450));
    assert_eq!(replay.late_steps, late_steps, "steps are late only until their interval is known");
}

/// Guards against a leader that takes the targets of the start for ones that nobody needs, as it led before it had read their
/// registrations.
#[test]
fn targets_that_are_found_late_count_as_needed() {
    let mut replay = Replay::new(bounds(1, 10), 4);
    (replay.hide_all, replay.may_order) = (true, false);
    replay.run(secs(1));
    replay.hide_all = false;
    replay.run(secs(1));
    replay.may_order = true;
    replay.run(secs(10));
    assert_eq!(replay.calls, 0);
}

/// Guards against orders in alternating directions while the load stays the same.
#[test]
fn a_steady_load_causes_no_further_orders() {
    let mut replay = Replay::new(bounds(1, 10), 1);
    with_steps(&mut replay);
    replay.run(secs(60));
    let calls = replay.calls;
    replay.run(secs(120));
    assert!(replay.calls <= calls + 2, "{} calls after {calls}", replay.calls);
}

/// Guards against targets that are kept for nothing, against giving them up at once, and against cutting runs.
#[test]
fn a_quiet_hour_ends_spot_targets_after_a_hold_time_and_not_below_the_lower_bound() {
    let mut replay = Replay::new(bounds(1, 10), 0);
    with_steps(&mut replay);
    replay.run(secs(60));
    let needed = replay.slots_needed();
    replay.end_steps();
    replay.run(secs(14));
    assert!(replay.slots_after_loss() >= needed, "the next step may come");
    replay.run(secs(3600));
    assert_eq!(replay.ready_of(Kind::Spot), [1, 1, 1]);
    assert_eq!(replay.interrupted, 0);
}

/// Guards against ordering away the targets of the start while they may be needed, and against keeping them for ever.
#[test]
fn on_demand_targets_of_the_start_stay_until_demand_was_low_for_long() {
    let mut replay = Replay::new(bounds(1, 10), 4);
    replay.run(secs(100));
    assert_eq!(replay.ready_of(Kind::OnDemand), [4, 4, 4]);
    replay.run(secs(900));
    let (on_demand, spot) = (replay.ready_of(Kind::OnDemand), replay.ready_of(Kind::Spot));
    assert_eq!((on_demand, spot), (vec![0, 0, 0], vec![1, 1, 1]));
    assert!(replay.least_by_zone >= 1, "the lower bound holds meanwhile");
}

/// Guards against capacity that stays lost when a zone's spot targets are reclaimed, and against asking that zone again and
/// again.
#[test]
fn a_reclaimed_zone_is_replaced_by_other_zones() {
    let mut replay = Replay::new(bounds(1, 12), 1);
    with_steps(&mut replay);
    replay.run(secs(60));
    let (needed, late_steps) = (replay.slots_needed(), replay.late_steps);
    replay.reclaim(0, secs(2));
    assert!(replay.ready_slots() >= needed, "what is left serves the work");
    let calls = replay.calls;
    replay.run(secs(1));
    assert!(replay.calls > calls, "further targets are ordered at once");
    replay.run(BOOT + secs(2));
    assert!(replay.slots_after_loss() >= needed, "another loss is covered again");
    replay.refuse_orders(0, None);
    replay.run(secs(60));
    assert_eq!((replay.above_max, replay.late_steps), (0, late_steps));
}

/// Guards against a zone whose targets are gone without having said so, and count as there until an order is overdue.
#[test]
fn a_zone_that_is_gone_without_a_word_is_replaced_by_other_zones() {
    let mut replay = Replay::new(bounds(1, 12), 1);
    with_steps(&mut replay);
    replay.run(secs(60));
    let needed = replay.slots_needed();
    replay.reclaim(0, Duration::ZERO);
    let calls = replay.calls;
    replay.run(secs(2));
    assert!(replay.calls > calls, "further targets are ordered at once");
    replay.run(BOOT + secs(2));
    assert!(replay.slots_after_loss() >= needed, "another loss is covered again");
}

/// Guards against orders for a zone that is cut off: its targets go on, but their registrations have ended, so a lower number
/// would end sound targets.
#[test]
fn nothing_is_ordered_in_a_zone_that_is_probably_cut_off() {
    let mut replay = Replay::new(bounds(1, 6), 4);
    replay.step_every(secs(5), 120);
    replay.run(secs(30));
    let on_demand = replay.ready_of(Kind::OnDemand);
    assert!(on_demand[2] >= 4, "{on_demand:?}");
    replay.hidden = Some(2);
    replay.run(secs(20));
    assert_eq!(replay.unseen_orders, 0);
    replay.hidden = None;
    replay.run(secs(1));
    assert!(replay.ready_of(Kind::OnDemand)[2] >= on_demand[2]);
}

/// Guards against a leader that has no spot targets to order and leaves the work without capacity.
#[test]
fn on_demand_targets_stand_in_where_no_spot_targets_can_be_had() {
    let mut replay = Replay::new(bounds(0, 10), 1);
    for zone in 0..3 {
        replay.refuse_orders(zone, Some(Kind::Spot));
    }
    with_steps(&mut replay);
    replay.run(secs(14));
    assert!(replay.ready_slots() >= replay.slots_needed(), "{}", replay.ready_slots());
    let calls = replay.calls;
    replay.run(secs(120));
    assert!(replay.calls <= calls + 24, "the backoff grows: {} calls", replay.calls - calls);
}

/// Guards against a storm of calls when nothing can be had anywhere.
#[test]
fn a_platform_without_targets_is_asked_ever_less_often() {
    let mut replay = Replay::new(bounds(0, 10), 1);
    (0..3).for_each(|zone| replay.refuse_orders(zone, None));
    with_steps(&mut replay);
    replay.run(secs(60));
    let calls = replay.calls;
    replay.run(secs(120));
    assert!(replay.calls - calls <= 36, "{} calls in 2 min", replay.calls - calls);
    (0..3).for_each(|zone| replay.accept_orders(zone));
    replay.run(secs(60));
    assert!(replay.ready_slots() >= replay.slots_needed(), "the zones are asked again");
}

/// Guards against an order without a response that takes effect after newer ones and stays in effect.
#[test]
fn an_order_that_is_carried_out_late_is_replaced() {
    let mut replay = Replay::new(bounds(0, 10), 1);
    replay.next_result = Some((CallResult::NoResponse, secs(25)));
    with_steps(&mut replay);
    replay.run(secs(24));
    replay.late_count(1);
    replay.run(secs(30));
    assert!(
        replay.slots_after_loss() >= replay.slots_needed(),
        "{:?}",
        replay.ready_of(Kind::Spot)
    );
}

/// Guards against orders outside the bounds of a zone, counted over both kinds.
#[test]
fn the_bounds_hold_for_both_kinds_together() {
    let mut replay = Replay::new(bounds(3, 4), 2);
    replay.run(secs(20));
    assert_eq!(replay.ready_of(Kind::Spot), [1, 1, 1], "the lower bound");
    replay.step_every(secs(2), 400);
    replay.run(secs(60));
    assert_eq!(replay.ready_of(Kind::Spot), [2, 2, 2], "the upper bound");
    assert_eq!(replay.above_max, 0);
}

/// Guards against orders beyond the bounds and against interrupted items in orders of events that no other test has: loads
/// that change, zones that are reclaimed, refuse targets and have them again, and leaders that are replaced.
#[test]
fn bounds_and_items_are_kept_whatever_happens() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut replay = Replay::new(bounds(1, 6), rng.random_range(0..3));
        for _ in 0..60 {
            let zone = rng.random_range(0..3);
            match rng.random_range(0..8) {
                0 => replay.step_every(secs(rng.random_range(2..20)), rng.random_range(1..120)),
                1 => replay.end_steps(),
                2 if replay.ready_of(Kind::Spot)[zone] > 0 => replay.reclaim(zone, secs(2)),
                3 => replay.refuse_orders(zone, Some(Kind::Spot)),
                4 => replay.refuse_orders(zone, None),
                5 => replay.change_leader(),
                _ => replay.accept_orders(zone),
            }
            replay.run(secs(rng.random_range(1..40)));
        }
        assert_eq!((replay.above_max, replay.interrupted), (0, 0), "seed {seed}");
        (0..3).for_each(|zone| replay.accept_orders(zone));
        replay.step_every(secs(5), 40);
        replay.run(secs(90));
        assert!(replay.slots_after_loss() >= replay.slots_needed(), "seed {seed}");
    }
}

/// Guards against numbers that are lowered together, each because the others are still there, and against orders without a
/// response that leave a lasting gap.
#[test]
fn work_stays_covered_after_orders_that_are_carried_out_late() {
    for seed in 0..SEEDS {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut replay = Replay::new(bounds(1, 6), rng.random_range(0..3));
        for _ in 0..60 {
            match rng.random_range(0..5) {
                0 => replay.step_every(secs(rng.random_range(2..20)), rng.random_range(1..120)),
                1 => replay.end_steps(),
                2 => replay.refuse_orders(rng.random_range(0..3), Some(Kind::Spot)),
                3 => replay.accept_orders(rng.random_range(0..3)),
                _ => {
                    let delay = secs(rng.random_range(0..30));
                    replay.next_result = Some((CallResult::NoResponse, delay));
                }
            }
            replay.run(secs(rng.random_range(1..40)));
        }
        (0..3).for_each(|zone| replay.accept_orders(zone));
        replay.next_result = None;
        replay.step_every(secs(5), 40);
        replay.run(secs(75));
        for _ in 0..200 {
            replay.run(secs(1));
            assert!(replay.slots_after_loss() >= replay.slots_needed(), "seed {seed}");
        }
    }
}

/// Guards against a new leader that shrinks what its predecessor ordered, as it has seen no demand yet.
#[test]
fn a_new_leader_goes_on_from_the_registrations() {
    let mut replay = Replay::new(bounds(1, 10), 1);
    with_steps(&mut replay);
    replay.run(secs(60));
    let (slots, calls) = (replay.ready_slots(), replay.calls);
    replay.change_leader();
    replay.run(secs(15));
    assert_eq!((replay.ready_slots(), replay.calls), (slots, calls), "it has not seen the demand");
    replay.run(secs(60));
    assert!(replay.slots_after_loss() >= replay.slots_needed());
    assert!(replay.calls <= calls + 3, "{} calls", replay.calls - calls);
}

/// Guards against orders for a zone that only a registration names.
#[test]
fn nothing_is_ordered_in_a_zone_without_a_price() {
    let scale = bounds(1, 10);
    let present = |zone: &str| Present {
        pool: Pool { zone: zone.into(), kind: Kind::Spot },
        slots: 2,
        taken: 0,
        draining: false,
        leaving: false,
    };
    let targets = ["z0", "z1", "z2", "odd"].map(present).to_vec();
    let inputs = Inputs { scale: &scale, targets, steps: Vec::new() };
    let mut scaler = Scaler::default();
    for at in 1..600 {
        scaler.observe(secs(at), &inputs);
        assert_eq!(scaler.decide(secs(at), &scale, 2.0).orders, []);
    }
}

/// Guards against a plan that pays on-demand prices for the cover of a loss, or that misses the need if spot targets are
/// short.
#[test]
fn a_plan_prefers_spot_targets_in_the_cheapest_zones() {
    let offer = |zone: &str, price, spot_max| ZoneOffer {
        zone: zone.into(),
        price,
        kept: 0,
        spot_max,
        on_demand_max: None,
    };
    let zones = [offer("z0", 1.0, None), offer("z1", 1.5, None), offer("z2", 1.0, None)];
    let need = Need { total: 10, after_loss: 8 };
    let wanted = plan(&bounds(0, 10), &zones, need);
    let counts = |kind| [0, 1, 2].map(|zone| wanted[&pool(zone, kind)]);
    assert_eq!(counts(Kind::OnDemand), [0, 0, 0]);
    let spot = counts(Kind::Spot);
    let (total, largest): (u32, u32) = (spot.iter().sum(), spot.into_iter().max().unwrap());
    assert!(total >= 10 && total - largest >= 8 && spot[1] <= spot[0], "{spot:?}");
    let zones = [offer("z0", 1.0, Some(2)), offer("z1", 1.0, Some(0)), offer("z2", 1.0, Some(0))];
    let wanted = plan(&bounds(0, 10), &zones, need);
    assert!(wanted.values().sum::<u32>() >= 10, "{wanted:?}");
}

/// Guards against more calls in any second than the platform allows.
#[test]
fn calls_are_paced() {
    let mut pacer = Pacer::default();
    let granted = |pacer: &mut Pacer, at| pacer.take(Duration::from_millis(at), 2.0);
    assert_eq!([0, 10, 20, 1000].map(|at| granted(&mut pacer, at)), [true, true, false, false]);
    assert!(granted(&mut pacer, 1100));
    pacer.refused(secs(3), 0.0);
    assert!(!pacer.take(secs(4), 2.0) && pacer.take(secs(5), 2.0));
    let mut slow = Pacer::default();
    assert!(slow.take(secs(1), 0.5) && !slow.take(secs(3), 0.5) && slow.take(secs(4), 0.5));
}

/// Guards against a sliding maximum that forgets too early or never.
#[test]
fn a_peak_is_remembered_for_a_time() {
    let mut peak = Peak::default();
    for (at, value) in [(1, 5), (2, 3), (3, 1), (9, 1)] {
        peak.observe(secs(at), value, secs(20));
    }
    assert_eq!(peak.over(secs(9), secs(8)), 5);
    assert_eq!(peak.over(secs(9), secs(7)), 3);
    assert_eq!(peak.over(secs(9), secs(1)), 1);
}

/// Guards against two hosts that take turns as the one that orders targets, and against a pause that is not needed.
#[test]
fn a_host_that_may_have_ordered_waits_before_it_orders_again() {
    let interval = secs(3);
    let mut turn = Turn::new(secs(10));
    assert!(!turn.may_call(secs(60)), "it does not lead");
    turn.acquired(secs(60), interval);
    assert!(turn.may_call(secs(60)), "it has never ordered");
    turn.called(secs(61));
    turn.acquired(secs(90), interval);
    assert!(!turn.may_call(secs(92)) && turn.may_call(secs(93)));
    let mut restarted = Turn::new(secs(10));
    restarted.acquired(secs(12), interval);
    assert!(!restarted.may_call(secs(14)), "an earlier process may have ordered");
    assert!(restarted.may_call(secs(15)));
}

/// Guards against runs that are cut by the named end of their engine, against needless moves, and against an end that is
/// postponed each time that the registration is read.
#[test]
fn runs_are_cut_by_the_end_that_was_named_first() {
    let target = |leaves_in| Target { draining: true, leaves_in, ..common::engine("e1", 1) };
    let targets = |target: Target| BTreeMap::from([(target.id.clone(), Arc::new(target))]);
    let mut leaving = Leaving::default();
    leaving.sync(&targets(target(None)), secs(1));
    assert!(leaving.is_empty(), "its end is not known");
    leaving.sync(&targets(target(Some(secs(8)))), secs(2));
    leaving.sync(&targets(target(Some(secs(8)))), secs(4));
    assert!(!leaving.cuts("e1", secs(4), Some(secs(5))), "it is done by then");
    assert!(leaving.cuts("e1", secs(4), Some(secs(6))));
    assert!(leaving.cuts("e1", secs(4), None), "its length is not known");
    assert!(!leaving.cuts("e2", secs(4), None));
    let again = Target { draining: false, started_ms: 2, ..common::engine("e1", 1) };
    leaving.sync(&targets(again), secs(5));
    assert!(leaving.is_empty());
}
