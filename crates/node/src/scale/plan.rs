//! Cheapest numbers of targets by zone and kind that meet a need.
//!
//! All spot targets of a zone may be reclaimed at once, so what is left after the loss of any one zone's spot targets has
//! to serve the need as well. That cover is bought at the spot price, as far as several zones have spot targets: on-demand
//! targets are ordered only for the need itself.

use std::collections::BTreeMap;

use crate::{
    config::Scale,
    prelude::*,
    scale::{Kind, Pool},
};

/// Targets that are needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Need {
    /// All together.
    pub total: u32,
    /// Without the spot targets of any one zone.
    pub after_loss: u32,
}

/// What a zone offers.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneOffer {
    pub zone: ZoneId,
    /// Price of an on-demand target's second.
    pub price: f64,
    /// On-demand targets that are kept in any case.
    pub kept: u32,
    /// Most targets of each kind that can be had, if that is known to be limited now.
    pub spot_max: Option<u32>,
    pub on_demand_max: Option<u32>,
}

/// Numbers of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    on_demand: u32,
    spot: u32,
}

/// How far a candidate misses the need, and its cost. A lower one is better.
type Merit = (u32, u32, f64);

/// Numbers of targets that meet the need at the least cost, or come closest to it.
pub fn plan(scale: &Scale, zones: &[ZoneOffer], need: Need) -> BTreeMap<Pool, u32> {
    let need = Need { after_loss: need.after_loss.min(reach(scale, zones)), ..need };
    let cap_max = scale.max.min(need.total.max(need.after_loss));
    let mut best: Option<(Merit, Vec<Counts>)> = None;
    for cap in 0..=cap_max {
        let counts = fill(scale, zones, need, cap);
        let merit = merit(scale, zones, need, &counts);
        if best
            .as_ref()
            .is_none_or(|(known, _)| merit.partial_cmp(known).is_some_and(|it| it.is_lt()))
        {
            best = Some((merit, counts));
        }
    }
    let counts = best.map(|(_, counts)| counts).unwrap_or_default();
    let pools = zones.iter().zip(counts).flat_map(|(zone, counts)| {
        let pool = |kind| Pool { zone: zone.zone.clone(), kind };
        [(pool(Kind::OnDemand), counts.on_demand), (pool(Kind::Spot), counts.spot)]
    });
    pools.collect()
}

/// Targets that are left, beside the kept ones, of the spot targets that can be had when one zone's are lost.
fn reach(scale: &Scale, zones: &[ZoneOffer]) -> u32 {
    let spot = |zone: &ZoneOffer| {
        let most = scale.max.saturating_sub(zone.kept);
        zone.spot_max.map_or(most, |spot_max| spot_max.min(most))
    };
    let all = zones.iter().map(spot).fold(0, u32::saturating_add);
    let largest = zones.iter().map(spot).max().unwrap_or_default();
    zones.iter().map(|zone| zone.kept).fold(all - largest, u32::saturating_add)
}

/// Numbers with at most `cap` spot targets in each zone beyond what its lower bound takes.
fn fill(scale: &Scale, zones: &[ZoneOffer], need: Need, cap: u32) -> Vec<Counts> {
    let mut counts: Vec<Counts> = zones
        .iter()
        .map(|zone| {
            let on_demand = zone.kept.min(scale.max);
            let lacking = scale.min.saturating_sub(on_demand);
            let spot = lacking.min(zone.spot_max.unwrap_or(u32::MAX));
            let on_demand_room = zone.on_demand_max.unwrap_or(u32::MAX).saturating_sub(on_demand);
            Counts { on_demand: on_demand + (lacking - spot).min(on_demand_room), spot }
        })
        .collect();
    let mut by_price: Vec<usize> = (0..zones.len()).collect();
    by_price.sort_by(|a, b| zones[*a].price.total_cmp(&zones[*b].price));
    // Spot targets in the cheapest zones first.
    for &at in &by_price {
        let room = scale.max.saturating_sub(counts[at].on_demand);
        let most = cap.min(room).min(zones[at].spot_max.unwrap_or(u32::MAX));
        let further = short(&counts, need, cap).min(most.saturating_sub(counts[at].spot));
        counts[at].spot += further;
    }
    for &at in &by_price {
        let room = scale.max.saturating_sub(counts[at].spot);
        let most = room.min(zones[at].on_demand_max.unwrap_or(u32::MAX));
        let further = short(&counts, need, 0).min(most.saturating_sub(counts[at].on_demand));
        counts[at].on_demand += further;
    }
    counts
}

fn total(counts: &[Counts]) -> u32 {
    counts.iter().map(|counts| counts.on_demand + counts.spot).sum()
}

/// Targets that are missing if the largest number of spot targets in a zone becomes `cap` at least.
fn short(counts: &[Counts], need: Need, cap: u32) -> u32 {
    let largest = counts.iter().map(|counts| counts.spot).max().unwrap_or_default().max(cap);
    need.total.max(need.after_loss.saturating_add(largest)).saturating_sub(total(counts))
}

/// Targets that are missing in all, and after the loss of a zone.
fn missing(counts: &[Counts], need: Need) -> (u32, u32) {
    let largest = counts.iter().map(|counts| counts.spot).max().unwrap_or_default();
    let total = total(counts);
    (need.total.saturating_sub(total), need.after_loss.saturating_sub(total - largest))
}

fn merit(scale: &Scale, zones: &[ZoneOffer], need: Need, counts: &[Counts]) -> Merit {
    let cost = zones.iter().zip(counts).map(|(zone, counts)| {
        let spot = f64::from(counts.spot) * scale.spot_price;
        zone.price * (f64::from(counts.on_demand) + spot)
    });
    let (missing, missing_after_loss) = missing(counts, need);
    (missing, missing_after_loss, cost.sum())
}
