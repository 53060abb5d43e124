//! A platform that carries out orders in memory, and trainers whose steps take the slots that are there.

use std::{collections::BTreeMap, time::Duration};

use lagoonyard_node::{
    config::Scale,
    job::triage::Load,
    prelude::*,
    scale::{CallResult, Inputs, Kind, Pool, Present, Scaler, Step},
};

pub const BOOT: Duration = Duration::from_secs(4);
const TICK: Duration = Duration::from_millis(200);
const SLOTS: u32 = 2;
const DEADLINE: Duration = Duration::from_millis(7500);
const ITEM: Duration = Duration::from_secs(1);

pub fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Bounds of three zones with equal prices.
pub fn bounds(min: u32, max: u32) -> Scale {
    let zone_prices = (0..3).map(|zone| (format!("z{zone}").into(), 1.0)).collect();
    Scale { min, max, boot: BOOT, spot_price: 0.18, zone_prices }
}

pub fn pool(zone: usize, kind: Kind) -> Pool {
    Pool { zone: format!("z{zone}").into(), kind }
}

/// Targets of a pool, by the time from which each serves, and those that leave.
#[derive(Default)]
struct Stock {
    serve_from: Vec<Time>,
    leaving: u32,
    leave_at: Time,
}

struct OpenStep {
    id: u64,
    submitted_at: Time,
    items: u32,
    rest: Duration,
}

pub struct Replay {
    scale: Scale,
    scaler: Scaler,
    now: Time,
    stocks: BTreeMap<Pool, Stock>,
    /// Zone whose registrations cannot be seen, as it is cut off.
    pub hidden: Option<usize>,
    /// The leader may order.
    pub may_order: bool,
    /// No registration can be seen.
    pub hide_all: bool,
    /// Orders for the hidden zone.
    pub unseen_orders: u32,
    /// Pools that refuse further targets.
    unavailable: Vec<Pool>,
    /// Orders that are carried out at a time.
    late: Vec<(Time, Pool, u32)>,
    /// Result of the next call, and how long after it the order is carried out.
    pub next_result: Option<(CallResult, Duration)>,
    late_pool: Option<Pool>,
    steps: Vec<OpenStep>,
    interval: Option<(Duration, u32)>,
    next_step: Time,
    submitted: u64,
    pub calls: usize,
    /// Slots that items take now.
    taken: u32,
    /// Steps that were complete after they were due.
    pub late_steps: u32,
    /// Items whose slots were given up while no other slot was free.
    pub interrupted: u32,
    /// Targets that were ordered beyond the upper bound of a zone.
    pub above_max: u32,
    /// Least number of ready targets of a zone at any time.
    pub least_by_zone: usize,
}

impl Replay {
    /// Zones that each begin with `found` on-demand targets.
    pub fn new(scale: Scale, found: usize) -> Self {
        let mut stocks = BTreeMap::new();
        for zone in 0..3 {
            let serve_from = vec![Time::ZERO; found];
            stocks.insert(pool(zone, Kind::OnDemand), Stock { serve_from, ..Stock::default() });
            stocks.insert(pool(zone, Kind::Spot), Stock::default());
        }
        Self {
            scale,
            scaler: Scaler::default(),
            now: secs(1000),
            stocks,
            hidden: None,
            may_order: true,
            hide_all: false,
            unseen_orders: 0,
            unavailable: Vec::new(),
            late: Vec::new(),
            next_result: None,
            late_pool: None,
            steps: Vec::new(),
            interval: None,
            next_step: Time::ZERO,
            submitted: 0,
            calls: 0,
            taken: 0,
            late_steps: 0,
            interrupted: 0,
            above_max: 0,
            least_by_zone: usize::MAX,
        }
    }

    pub fn step_every(&mut self, interval: Duration, items: u32) {
        self.interval = Some((interval, items));
        self.next_step = self.now;
    }

    pub fn end_steps(&mut self) {
        self.interval = None;
        self.steps.clear();
    }

    /// Makes the spot targets of a zone leave, and the zone refuse further ones.
    pub fn reclaim(&mut self, zone: usize, after: Duration) {
        let stock = self.stocks.get_mut(&pool(zone, Kind::Spot)).unwrap();
        stock.leaving = stock.serve_from.len() as u32;
        assert!(stock.leaving > 0, "nothing to reclaim");
        stock.leave_at = self.now + after;
        stock.serve_from.clear();
        self.refuse_orders(zone, Some(Kind::Spot));
    }

    /// Makes a zone refuse further targets of one kind or of both.
    pub fn refuse_orders(&mut self, zone: usize, kind: Option<Kind>) {
        let kinds = kind.map_or(vec![Kind::Spot, Kind::OnDemand], |kind| vec![kind]);
        self.unavailable.extend(kinds.into_iter().map(|kind| pool(zone, kind)));
    }

    pub fn accept_orders(&mut self, zone: usize) {
        self.unavailable.retain(|pool| *pool.zone != format!("z{zone}"));
    }

    /// Replaces the number in an order that is still to be carried out.
    pub fn late_count(&mut self, count: u32) {
        let pool = self.late_pool.take().expect("a late order");
        self.late.retain(|(_, late, _)| *late != pool);
        self.late.push((self.now + TICK, pool, count));
    }

    pub fn change_leader(&mut self) {
        self.scaler = Scaler::default();
    }

    pub fn ready_of(&self, kind: Kind) -> Vec<usize> {
        (0..3).map(|zone| self.ready(&pool(zone, kind))).collect()
    }

    pub fn ready_slots(&self) -> u32 {
        let ready: usize = self.stocks.keys().map(|pool| self.ready(pool)).sum();
        ready as u32 * SLOTS
    }

    pub fn slots_after_loss(&self) -> u32 {
        let largest = self.ready_of(Kind::Spot).into_iter().max().unwrap_or_default();
        self.ready_slots() - largest as u32 * SLOTS
    }

    /// Slots that the steps take if each gets its share from its submission to its due time.
    pub fn slots_needed(&self) -> u32 {
        let Some((interval, items)) = self.interval else {
            return 0;
        };
        let work = f64::from(items) * ITEM.as_secs_f64();
        (work / interval.as_secs_f64()).ceil() as u32
    }

    fn is_hidden(&self, pool: &Pool) -> bool {
        self.hide_all || self.hidden.is_some_and(|zone| *pool.zone == format!("z{zone}"))
    }

    fn ready(&self, pool: &Pool) -> usize {
        self.stocks[pool].serve_from.iter().filter(|from| **from <= self.now).count()
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.tick();
            self.now += TICK;
        }
    }

    fn tick(&mut self) {
        self.carry_out_late();
        self.submit();
        let taken = self.work();
        let targets = self.targets(taken);
        let inputs = Inputs { scale: &self.scale, targets, steps: self.open_steps() };
        self.scaler.observe(self.now, &inputs);
        if !self.may_order {
            return;
        }
        for order in self.scaler.decide(self.now, &self.scale, 2.0).orders {
            self.calls += 1;
            self.unseen_orders += u32::from(self.is_hidden(&order.pool));
            let result = self.call(&order.pool, order.count);
            self.scaler.ended(self.now, &order.pool, result, 0.5);
        }
        for zone in 0..3 {
            let kinds = [Kind::Spot, Kind::OnDemand].map(|kind| pool(zone, kind));
            let ready: usize = kinds.iter().map(|pool| self.ready(pool)).sum();
            self.least_by_zone = self.least_by_zone.min(ready);
            let ordered: usize = kinds.iter().map(|pool| self.stocks[pool].serve_from.len()).sum();
            self.above_max += (ordered as u32).saturating_sub(self.scale.max);
        }
    }

    fn call(&mut self, pool: &Pool, count: u32) -> CallResult {
        if let Some((result, delay)) = self.next_result.take() {
            self.late.push((self.now + delay, pool.clone(), count));
            self.late_pool = Some(pool.clone());
            return result;
        }
        if self.unavailable.contains(pool) && count as usize > self.stocks[pool].serve_from.len() {
            return CallResult::Conflict;
        }
        self.set(pool, count);
        CallResult::Accepted
    }

    fn set(&mut self, pool: &Pool, count: u32) {
        let now = self.now;
        let stock = self.stocks.get_mut(pool).unwrap();
        let is_lower = stock.serve_from.len() > count as usize;
        stock.serve_from.resize(count as usize, now + BOOT);
        if is_lower {
            self.interrupted += self.taken.saturating_sub(self.ready_slots());
        }
    }

    fn carry_out_late(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.late.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, pool, count) in due {
            self.set(&pool, count);
        }
        for stock in self.stocks.values_mut().filter(|stock| stock.leave_at <= now) {
            stock.leaving = 0;
        }
    }

    fn submit(&mut self) {
        let Some((interval, items)) = self.interval.filter(|_| self.now >= self.next_step) else {
            return;
        };
        self.next_step += interval;
        self.submitted += 1;
        let (id, submitted_at) = (self.submitted, self.now);
        self.steps.push(OpenStep { id, submitted_at, items, rest: ITEM * items });
    }

    /// Works off the steps in order. Returns the number of slots taken.
    fn work(&mut self) -> u32 {
        let (mut free, mut taken) = (self.ready_slots(), 0);
        for step in &mut self.steps {
            let used = free.min(step.items);
            step.rest = step.rest.saturating_sub(TICK * used);
            (free, taken) = (free - used, taken + used);
        }
        let done = self.steps.extract_if(.., |step| step.rest.is_zero());
        let is_late = |step: &OpenStep| self.now > step.submitted_at + DEADLINE;
        self.late_steps += done.filter(is_late).count() as u32;
        self.taken = taken;
        taken
    }

    fn targets(&self, mut taken: u32) -> Vec<Present> {
        let mut targets = Vec::new();
        for (pool, stock) in self.stocks.iter().filter(|(pool, _)| !self.is_hidden(pool)) {
            let leaving = vec![true; stock.leaving as usize];
            for leaving in leaving.into_iter().chain(vec![false; self.ready(pool)]) {
                let runs = if leaving { 0 } else { taken.min(SLOTS) };
                taken -= runs;
                let (pool, draining) = (pool.clone(), leaving);
                targets.push(Present { pool, slots: SLOTS, taken: runs, draining, leaving });
            }
        }
        targets
    }

    fn open_steps(&self) -> Vec<Step> {
        let load = |step: &OpenStep, work: Duration| Load {
            job: step.id.to_string().into(),
            due: step.submitted_at + DEADLINE,
            priority: 0,
            work: work.into(),
            longest: ITEM.into(),
        };
        let step = |step: &OpenStep| Step {
            model: "m".into(),
            submitted_at: step.submitted_at,
            rest: load(step, step.rest),
            whole: load(step, ITEM * step.items),
            open_items: step.items as usize,
            items: step.items as usize,
        };
        self.steps.iter().map(step).collect()
    }
}
