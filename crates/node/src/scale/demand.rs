//! Slots that the open steps need to be complete by their due times.

use crate::{
    job::{Effort, triage::Load},
    prelude::*,
};

/// Least share of the time until a step is due over which its work is spread, however long its longest item is.
const SPREAD_SHARE_MIN: f64 = 1.0 / 3.0;

/// An open job as a consumer of slots.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    pub model: ModelId,
    pub submitted_at: Time,
    /// Work that it still needs.
    pub rest: Load,
    /// Work that it needed when it was submitted.
    pub whole: Load,
    /// Items without a text.
    pub open_items: usize,
    pub items: usize,
}

impl Step {
    /// Slots that complete the whole step in time if it gets them from its submission on. An item takes one slot at a time.
    pub fn slots_from_start(&self) -> f64 {
        slots(self.whole.work.time(), self.spread()).min(self.items as f64)
    }

    /// Time over which its work is spread.
    pub fn spread(&self) -> Duration {
        let time = self.whole.due.saturating_sub(self.submitted_at);
        spread(time, self.whole.longest.time())
    }
}

/// Time over which work is spread that is due after `time`: the last item has to start early enough to end by then.
fn spread(time: Duration, longest: Duration) -> Duration {
    time.saturating_sub(longest).max(time.mul_f64(SPREAD_SHARE_MIN))
}

fn slots(work: Duration, time: Duration) -> f64 {
    if time.is_zero() { f64::MAX } else { work.as_secs_f64() / time.as_secs_f64() }
}

/// Slots at hand.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Supply {
    /// Those that serve now.
    pub ready: f64,
    /// Those that are ordered, with the time until they serve.
    pub coming: Vec<(f64, Duration)>,
}

impl Supply {
    fn slots(&self) -> f64 {
        self.ready + self.coming.iter().map(|(slots, _)| slots).sum::<f64>()
    }

    /// Work that these slots do within a time, in seconds.
    fn work_within(&self, time: Duration) -> f64 {
        let coming = self.coming.iter();
        let coming = coming.map(|(slots, after)| slots * time.saturating_sub(*after).as_secs_f64());
        self.ready * time.as_secs_f64() + coming.sum::<f64>()
    }
}

/// Boots after which a step counts as due if it is overdue or due sooner. Further targets cannot help it before, so the time
/// that is left is no reason to order ever more of them.
const BOOTS_MIN: u32 = 2;

/// Slots that the rests of all steps need together, if those beyond the supply serve after `boot`.
pub fn slots_needed(now: Time, supply: &Supply, boot: Duration, steps: &[Step]) -> f64 {
    let mut by_due: Vec<&Step> = steps.iter().filter(|step| step.open_items > 0).collect();
    by_due.sort_by_key(|step| step.rest.due);
    let (mut work, mut longest, mut items, mut needed) = (0.0, Duration::ZERO, 0, 0.0_f64);
    for step in by_due {
        work += step.rest.work.time().as_secs_f64();
        longest = longest.max(step.rest.longest.time());
        items += step.open_items;
        let time = spread(step.rest.due.saturating_sub(now).max(boot * BOOTS_MIN), longest);
        let served = supply.work_within(time);
        let share = if served > 0.0 { (work / served).min(1.0) } else { 0.0 };
        let time_of_further = time.saturating_sub(boot).max(time / 2);
        let further = Effort::new(Duration::from_secs(1), work - served);
        let slots = supply.slots() * share + slots(further.time(), time_of_further);
        needed = needed.max(slots.min(items as f64));
    }
    needed
}
