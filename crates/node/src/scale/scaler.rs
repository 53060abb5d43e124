//! Decides which orders the leader of a service sends.

use std::collections::BTreeMap;

use crate::{
    config::Scale,
    prelude::*,
    scale::{
        Basis, CallResult, Decision, Forecast, Kind, Need, Order, Pacer, Peak, Pool, PoolState,
        Registered, Step, Supply, ZoneOffer, plan, slots_needed,
    },
};

/// Capacity that is ordered, and below which more is ordered, relative to what the work needs. The distance between them
/// keeps small changes of the estimate from causing orders.
const HEADROOM: f64 = 1.25;
const HEADROOM_MIN: f64 = 1.1;
/// The same for what is left after the loss of a zone's spot targets.
const LOSS_HEADROOM: f64 = 1.1;
const LOSS_HEADROOM_MIN: f64 = 1.0;
/// Time for which fewer targets must have been wanted before fewer are ordered, in boots: a target that is given up and
/// ordered again costs a boot each time.
const HOLD_BOOTS: u32 = 4;
const HOLD_MIN: Duration = Duration::from_secs(8);
/// The same in hold times for targets that run items, which then have to move, and for on-demand targets.
const BUSY_HOLDS: u32 = 3;
/// The same for the on-demand targets that were found at the beginning.
const BASE_HOLDS: u32 = 10;
/// Time before the next step is expected from which its targets are kept ready, in boots.
const LEAD_BOOTS: u32 = 2;

/// Targets beyond those that are wanted from which fewer are ordered, relative to these. Each order has a price.
const SURPLUS_MIN: f64 = 1.25;

/// Reason of an order for fewer targets.
const NOT_NEEDED: &str = "not_needed";

/// A registered target of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Present {
    pub pool: Pool,
    pub slots: u32,
    pub taken: u32,
    pub draining: bool,
    /// It has named its end.
    pub leaving: bool,
}

/// What a decision depends on.
#[derive(Clone, Debug)]
pub struct Inputs<'a> {
    pub scale: &'a Scale,
    pub targets: Vec<Present>,
    pub steps: Vec<Step>,
}

/// Scaling of one service by one leadership.
#[derive(Clone, Debug, Default)]
pub struct Scaler {
    forecast: Forecast,
    pools: BTreeMap<Pool, PoolState>,
    pacer: Pacer,
    basis: Basis,
    /// Slots that the work needs, without headroom.
    slots: f64,
    /// Targets that were needed lately, in all and after the loss of a zone.
    needed: Peak,
    needed_after_loss: Peak,
    /// Most targets that were found without an order of this leader.
    found: u32,
    /// Numbers of the last plan.
    wanted: BTreeMap<Pool, u32>,
    /// The on-demand targets found at the beginning are not needed any more.
    base_released: bool,
}

impl Scaler {
    /// Applies what is registered and what work is known. Has to be called at short intervals, also while nothing may be
    /// ordered.
    pub fn observe(&mut self, now: Time, inputs: &Inputs) {
        let Inputs { scale, steps, .. } = inputs;
        let is_first = self.pools.is_empty();
        self.update_pools(now, inputs);
        self.forecast.observe(steps);
        self.update_basis(now, inputs);
        let (hold, memory) = (hold(scale), hold(scale) * BASE_HOLDS);
        let need = self.basis.need;
        let found: u32 = self.pools.values().map(|state| state.base).sum();
        if found > self.found {
            // A new leader shrinks nothing before it has seen the demand for as long as any other. It may lead before it has
            // read all registrations.
            self.found = found;
            self.needed.observe(now, found, memory);
        }
        self.needed.observe(now, need.total, memory);
        self.needed_after_loss.observe(now, need.after_loss, memory);
        let base = self.pools.iter().filter(|(pool, _)| pool.kind == Kind::OnDemand);
        let base: u32 = base.map(|(_, state)| state.base).sum();
        self.base_released = self.needed.over(now, memory).saturating_mul(2) <= base;
        let offers: Vec<ZoneOffer> =
            self.zones().into_iter().map(|zone| self.offer(now, zone, scale)).collect();
        self.wanted = plan(scale, &offers, need);
        for (pool, state) in &mut self.pools {
            if is_first {
                state.wanted.observe(now, state.ordered, hold * BUSY_HOLDS);
            }
            let wanted = self.wanted.get(pool).copied().unwrap_or_default();
            state.wanted.observe(now, wanted, hold * BUSY_HOLDS);
        }
    }

    /// Counts the registered targets of each pool, also of the pools that have none now.
    fn update_pools(&mut self, now: Time, inputs: &Inputs) {
        let mut registered: BTreeMap<Pool, Registered> = BTreeMap::new();
        let named = inputs.scale.zone_prices.keys();
        let zones = named.chain(inputs.targets.iter().map(|target| &target.pool.zone));
        for zone in zones.chain(self.pools.keys().map(|pool| &pool.zone)) {
            for kind in [Kind::OnDemand, Kind::Spot] {
                registered.entry(Pool { zone: zone.clone(), kind }).or_default();
            }
        }
        for target in &inputs.targets {
            let counts = registered.entry(target.pool.clone()).or_default();
            if target.draining {
                counts.leaving += u32::from(target.leaving);
                continue;
            }
            counts.ready += 1;
            counts.slots = counts.slots.saturating_add(target.slots);
            counts.taken = counts.taken.saturating_add(target.taken);
        }
        for (pool, counts) in registered {
            let state = self.pools.entry(pool).or_insert_with(|| PoolState::new(now, counts));
            state.observe(now, counts, inputs.scale.boot);
        }
    }

    /// Estimates the slots and targets that the work needs.
    fn update_basis(&mut self, now: Time, inputs: &Inputs) {
        let registered = self.pools.values().map(|state| &state.registered);
        let (ready, slots) = registered.fold((0_u32, 0_u32), |(ready, slots), counts| {
            (ready + counts.ready, slots.saturating_add(counts.slots))
        });
        let boot = inputs.scale.boot;
        if ready > 0 && slots > 0 {
            self.basis.per_target = f64::from(slots) / f64::from(ready);
        }
        let per_target = self.basis.per_target.max(1.0);
        let coming = self.pools.values().map(|state| state.coming(now, boot));
        let coming = coming.map(|(count, after)| (f64::from(count) * per_target, after));
        let supply = Supply { ready: slots.into(), coming: coming.collect() };
        let open = slots_needed(now, &supply, boot, &inputs.steps);
        let expected = self.forecast.slots(now, boot * LEAD_BOOTS);
        self.slots = open.max(expected);
        let need = self.need(HEADROOM, LOSS_HEADROOM);
        let open_steps = inputs.steps.len();
        self.basis = Basis { open_steps, open, expected, ready: slots.into(), per_target, need };
    }

    /// Targets that the work needs, with headroom.
    fn need(&self, headroom: f64, loss_headroom: f64) -> Need {
        let per_target = self.basis.per_target.max(1.0);
        let targets = |headroom: f64| (self.slots * headroom / per_target).ceil() as u32;
        Need { total: targets(headroom), after_loss: targets(loss_headroom) }
    }

    /// Zones of all known pools.
    fn zones(&self) -> Vec<ZoneId> {
        let spot = self.pools.keys().filter(|pool| pool.kind == Kind::Spot);
        spot.map(|pool| pool.zone.clone()).collect()
    }

    /// What can be ordered in a zone now.
    fn offer(&self, now: Time, zone: ZoneId, scale: &Scale) -> ZoneOffer {
        let state = |kind| self.pools.get(&Pool { zone: zone.clone(), kind });
        let on_demand = state(Kind::OnDemand);
        let kept = on_demand.map_or(0, |state| state.base.min(state.registered.ready));
        let price = scale.zone_prices.get(&zone).copied().unwrap_or(1.0);
        let limit = |state: &PoolState| {
            let can_grow = is_offered(scale, &zone) && !self.is_probably_cut_off(now, &zone);
            if can_grow { state.limit(now) } else { Some(state.registered.ready) }
        };
        ZoneOffer {
            price,
            kept: if self.base_released { 0 } else { kept },
            spot_max: state(Kind::Spot).and_then(limit),
            on_demand_max: on_demand.and_then(limit),
            zone,
        }
    }

    /// Orders to send now, at most `calls_per_s` in a second. They count as sent.
    pub fn decide(&mut self, now: Time, scale: &Scale, calls_per_s: f64) -> Decision {
        let is_served = self.is_served(now, scale);
        let mut orders: Vec<Order> =
            self.pools.keys().filter_map(|pool| self.order(now, scale, pool, is_served)).collect();
        // Further targets first, then as many as possible at once.
        orders.sort_by_key(|order| {
            (order.count < order.before, std::cmp::Reverse(order.count.abs_diff(order.before)))
        });
        // Each lower number is decided with all others as they are, so one is sent at a time.
        let mut has_lower = false;
        orders
            .retain(|order| order.reason != NOT_NEEDED || !std::mem::replace(&mut has_lower, true));
        let pacer = &mut self.pacer;
        orders.retain(|_| pacer.take(now, calls_per_s));
        for order in &orders {
            if let Some(state) = self.pools.get_mut(&order.pool) {
                state.sent(order.count);
            }
        }
        Decision { basis: self.basis, orders }
    }

    /// Records the result of an order. `jitter` is from 0 to 1.
    pub fn ended(&mut self, now: Time, pool: &Pool, result: CallResult, jitter: f64) {
        match result {
            CallResult::Accepted => self.pacer.accepted(),
            CallResult::RateLimited => self.pacer.refused(now, jitter),
            CallResult::Conflict | CallResult::Refused | CallResult::NoResponse => {}
        }
        if let Some(state) = self.pools.get_mut(pool) {
            state.ended(now, result, jitter);
        }
    }

    /// Pools with the number that is wanted and the targets that are ready.
    pub fn pools(&self) -> impl Iterator<Item = (&Pool, u32, u32)> {
        self.pools.iter().map(|(pool, state)| {
            let wanted = self.wanted.get(pool).copied().unwrap_or_default();
            (pool, wanted, state.registered.ready)
        })
    }

    /// Estimates of the last observation.
    pub fn basis(&self) -> &Basis {
        &self.basis
    }

    /// Order that a pool needs now, if any.
    fn order(&self, now: Time, scale: &Scale, pool: &Pool, is_served: bool) -> Option<Order> {
        let state = self.pools.get(pool).filter(|state| !state.is_sending())?;
        if !is_offered(scale, &pool.zone) || self.is_probably_cut_off(now, &pool.zone) {
            return None;
        }
        let ready = state.registered.ready;
        let order = |count, reason| Order {
            pool: pool.clone(),
            count,
            before: state.ordered,
            ready,
            reason,
        };
        let wanted = self.wanted.get(pool).copied().unwrap_or_default();
        let most = wanted.min(self.room(pool, scale));
        if most > state.ordered && !state.is_blocked(now) && (!is_served || self.base_released) {
            return Some(order(most, "needed"));
        }
        if self.blocks_other_kind(now, scale, pool) {
            return Some(order(ready, "blocks_other_kind"));
        }
        if state.is_repeat_due(now) {
            // What has not come and is not wanted any more is not asked for again.
            let lately = state.wanted.over(now, hold(scale));
            let count = state.ordered.min(lately.max(ready)).min(self.room(pool, scale));
            return Some(order(count, "not_carried_out"));
        }
        let count = self.lowered(now, scale, pool, state)?;
        Some(order(count, NOT_NEEDED))
    }

    /// Whether a zone is probably cut off. Orders there would end targets that go on and are not seen.
    fn is_probably_cut_off(&self, now: Time, zone: &ZoneId) -> bool {
        let on_demand = self.pools.get(&Pool { zone: zone.clone(), kind: Kind::OnDemand });
        on_demand.is_some_and(|state| state.is_probably_cut_off(now))
    }

    /// Most targets of a pool beside those of the other kind.
    fn room(&self, pool: &Pool, scale: &Scale) -> u32 {
        let other = Pool { zone: pool.zone.clone(), kind: pool.kind.other() };
        let other =
            self.pools.get(&other).map_or(0, |state| state.ordered.max(state.registered.ready));
        scale.max.saturating_sub(other)
    }

    /// Whether an order that the platform cannot carry out now takes the room of the other kind, which is wanted.
    fn blocks_other_kind(&self, now: Time, scale: &Scale, pool: &Pool) -> bool {
        let other = Pool { zone: pool.zone.clone(), kind: pool.kind.other() };
        let (Some(state), Some(other_state)) = (self.pools.get(pool), self.pools.get(&other))
        else {
            return false;
        };
        let wanted = self.wanted.get(&other).copied().unwrap_or_default();
        let is_wanted = wanted > other_state.ordered && wanted > self.room(&other, scale);
        state.is_blocked(now) && state.ordered > state.registered.ready && is_wanted
    }

    /// Whether the targets that are there or ordered serve the work, also after the loss of a zone.
    fn is_served(&self, now: Time, scale: &Scale) -> bool {
        let expected: BTreeMap<&Pool, u32> =
            self.pools.iter().map(|(pool, state)| (pool, state.expected(now))).collect();
        let planned = self.wanted.iter().map(|(pool, wanted)| (pool, *wanted)).collect();
        let need = self.need(HEADROOM_MIN, LOSS_HEADROOM_MIN);
        // What the plan cannot reach cannot be asked for.
        let (total, after_loss) = capacity(&planned);
        let need =
            Need { total: need.total.min(total), after_loss: need.after_loss.min(after_loss) };
        serves(&expected, need) && has_least(&expected, scale)
    }

    /// Lower number to order for a pool, if that interrupts nothing and leaves enough.
    fn lowered(&self, now: Time, scale: &Scale, pool: &Pool, state: &PoolState) -> Option<u32> {
        let hold = hold(scale);
        let is_busy = state.registered.taken > 0;
        let wanted = self.pools.values().map(|state| state.wanted.over(now, hold)).sum::<u32>();
        let ordered = self.pools.values().map(|state| state.ordered).sum::<u32>();
        let has_surplus = f64::from(ordered) >= f64::from(wanted) * SURPLUS_MIN;
        let is_early = now < state.changed_at + hold || !has_surplus;
        if is_early || is_busy && pool.kind == Kind::OnDemand {
            return None;
        }
        let is_slow = is_busy || pool.kind == Kind::OnDemand;
        let wanted = state.wanted.over(now, if is_slow { hold * BUSY_HOLDS } else { hold });
        if wanted >= state.ordered || is_busy && self.free_elsewhere(pool) < state.registered.taken
        {
            return None;
        }
        let need = Need {
            total: self.needed.over(now, hold).min(self.wanted.values().sum()),
            after_loss: self.needed_after_loss.over(now, hold),
        };
        let lasting: BTreeMap<&Pool, u32> =
            self.pools.iter().map(|(pool, state)| (pool, state.lasting())).collect();
        // Also while some zones offer no spot targets, this much stays covered.
        let reach = scale.max.saturating_mul((self.zones().len() as u32).saturating_sub(1));
        let need = Need { after_loss: need.after_loss.min(reach), ..need };
        (wanted..state.ordered).find(|count| {
            let mut left = lasting.clone();
            left.insert(pool, state.lasting().min(*count));
            *count >= state.registered.ready || serves(&left, need) && has_least(&left, scale)
        })
    }

    /// Free slots of the ready targets of other pools.
    fn free_elsewhere(&self, pool: &Pool) -> u32 {
        let others = self.pools.iter().filter(|(other, _)| *other != pool);
        let counts = others.map(|(_, state)| &state.registered);
        let free = counts.map(|counts| counts.slots.saturating_sub(counts.taken));
        free.fold(0, u32::saturating_add)
    }
}

/// Time for which fewer targets must have been wanted before fewer are ordered.
fn hold(scale: &Scale) -> Duration {
    (scale.boot * HOLD_BOOTS).max(HOLD_MIN)
}

/// Targets in all, and without the spot targets of the zone that has most.
fn capacity(counts: &BTreeMap<&Pool, u32>) -> (u32, u32) {
    let total: u32 = counts.values().sum();
    let spot = counts.iter().filter(|(pool, _)| pool.kind == Kind::Spot);
    (total, total - spot.map(|(_, count)| *count).max().unwrap_or_default())
}

/// Whether these numbers meet a need.
fn serves(counts: &BTreeMap<&Pool, u32>, need: Need) -> bool {
    let (total, after_loss) = capacity(counts);
    total >= need.total && after_loss >= need.after_loss
}

/// Whether each zone in which targets can be ordered has its least number.
fn has_least(counts: &BTreeMap<&Pool, u32>, scale: &Scale) -> bool {
    let mut zones: BTreeMap<&ZoneId, u32> = BTreeMap::new();
    for (pool, count) in counts.iter().filter(|(pool, _)| is_offered(scale, &pool.zone)) {
        *zones.entry(&pool.zone).or_default() += count;
    }
    zones.values().all(|count| *count >= scale.min)
}

/// Whether targets can be ordered in a zone. If the configuration names prices, only the zones that have one; a registration
/// may name any zone.
fn is_offered(scale: &Scale, zone: &ZoneId) -> bool {
    scale.zone_prices.is_empty() || scale.zone_prices.contains_key(zone)
}
