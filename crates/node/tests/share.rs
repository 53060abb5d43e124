//! Order in which requests of workspaces try a service without room, and the expected wait.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use lagoonyard_node::share::{Cause, Granted, Queue, Refusal, Request, SHARE_LEN_MAX, Ticket};

const STEP: Duration = Duration::from_millis(5);
const HOLD: Duration = Duration::from_millis(50);
const LONG_HOLD: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_millis(100);
const LONG: Duration = Duration::from_secs(60);
const RETRY_AFTER_MIN: Duration = Duration::from_millis(200);

/// A service with slots that are all held, and its queue.
struct Case {
    queue: Queue,
    now: Instant,
    slots: usize,
    running: Vec<(Instant, Granted)>,
    /// Workspace and time for which a request holds its slot, by ticket.
    waiting: BTreeMap<Ticket, (String, u32, Duration)>,
    /// Started requests by workspace and priority.
    started: BTreeMap<(String, u32), usize>,
    arrived: u64,
}

impl Case {
    fn new(slots: usize) -> Self {
        let now = Instant::now();
        Self {
            queue: Queue::new(now),
            now,
            slots,
            running: Vec::new(),
            waiting: BTreeMap::new(),
            started: BTreeMap::new(),
            arrived: 0,
        }
    }

    fn request(&self, id: &str, workspace: &str, priority: u32, patience: Duration) -> Request {
        let until = self.now + patience;
        let share = Some(workspace.into());
        Request { id: id.into(), share, priority, deadline: self.now + patience * 4, until }
    }

    fn arrive(
        &mut self,
        workspace: &str,
        priority: u32,
        hold: Duration,
        patience: Duration,
    ) -> Result<Ticket, Refusal> {
        self.arrived += 1;
        let request = self.request(&self.arrived.to_string(), workspace, priority, patience);
        let ticket = self.queue.enter(&request, self.now)?;
        self.waiting.insert(ticket, (workspace.into(), priority, hold));
        Ok(ticket)
    }

    /// Keeps a number of requests of a workspace waiting.
    fn fill(&mut self, workspace: &str, priority: u32, count: usize, hold: Duration) {
        let own = |(name, at, _): &&(String, u32, Duration)| name == workspace && *at == priority;
        for _ in self.waiting.values().filter(own).count()..count {
            self.arrive(workspace, priority, hold, LONG).expect("no place");
        }
    }

    /// Passes a step: requests end, and others have their slots.
    fn step(&mut self) {
        self.now += STEP;
        while self.running.len() < self.slots {
            let Some(granted) = self.queue.grant(self.now) else { break };
            self.start(granted);
        }
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |(end, _)| *end <= now).collect();
        for (_, granted) in ended {
            let hold = self.waiting.remove(&granted.ticket).map_or(HOLD, |(_, _, hold)| hold);
            self.queue.end(&granted, hold);
            if let Some(next) = self.queue.free(now) {
                self.start(next);
            }
        }
    }

    fn start(&mut self, granted: Granted) {
        let (name, priority, hold) = &self.waiting[&granted.ticket];
        assert_eq!(granted.share.as_deref(), Some(&**name));
        *self.started.entry((name.clone(), *priority)).or_default() += 1;
        self.running.push((self.now + *hold, granted));
    }

    fn started(&self, workspace: &str, priority: u32) -> usize {
        self.started.get(&(workspace.into(), priority)).copied().unwrap_or(0)
    }
}

/// Guards against a workspace that gets the more slots the more requests it sends.
#[test]
fn light_workspaces_have_their_part_beside_a_heavy_one() {
    let mut case = Case::new(4);
    for _ in 0..2000 {
        case.fill("heavy", 0, 100, HOLD);
        (0..4).for_each(|light| case.fill(&format!("light-{light}"), 0, 3, HOLD));
        case.step();
    }
    let total: usize = case.started.values().sum();
    let heavy = case.started("heavy", 0);
    assert!(heavy.abs_diff(total / 5) <= total / 50, "heavy {heavy} of {total}");
    for light in 0..4 {
        let own = case.started(&format!("light-{light}"), 0);
        assert!(own.abs_diff(total / 5) <= total / 50, "light {own} of {total}");
    }
}

/// Guards against slots that stay unused, and against light workspaces that wait behind a heavy one.
#[test]
fn a_heavy_workspace_has_what_others_leave() {
    let mut case = Case::new(4);
    for step in 0..2000 {
        case.fill("heavy", 0, 100, HOLD);
        if step % 40 == 0 {
            case.arrive("light", 0, HOLD, PATIENCE).expect("the light workspace is refused");
        }
        case.step();
    }
    // 4 slots, 2000 steps of 5 ms and 50 ms for each request.
    let (heavy, light) = (case.started("heavy", 0), case.started("light", 0));
    assert!(light >= 49 && heavy + light >= 790, "heavy {heavy}, light {light}");
}

/// Guards against a workspace that gets more of the targets' time because its requests are long.
#[test]
fn long_requests_are_charged_for_their_time() {
    let mut case = Case::new(4);
    for _ in 0..2000 {
        case.fill("long", 0, 20, LONG_HOLD);
        case.fill("short", 0, 20, HOLD);
        case.step();
    }
    let (long, short) = (case.started("long", 0) * 4, case.started("short", 0));
    assert!(long.abs_diff(short) <= short / 5, "long {long} of 50 ms each, short {short}");
}

/// Guards against urgent requests that wait for others, and against less urgent ones that get no slot.
#[test]
fn a_less_urgent_priority_has_a_small_part() {
    let mut case = Case::new(4);
    for _ in 0..2000 {
        (0..3).for_each(|priority| case.fill("a", priority, 20, HOLD));
        case.step();
    }
    let total: usize = case.started.values().sum();
    let parts = [0, 1, 2].map(|priority| case.started("a", priority) * 16 / total);
    assert!(parts[0] >= 11 && parts[1] >= 2, "sixteenths {parts:?}");
    assert!(case.started("a", 2) * 20 >= total, "{:?}", case.started);
}

/// Guards against callers that wait for a slot that they cannot get, and against light ones that are refused with them.
#[test]
fn a_request_that_would_wait_too_long_is_refused_at_once() {
    let mut case = Case::new(4);
    let mut refused = Vec::new();
    for _ in 0..400 {
        // 80 slots a second become free, and 400 requests arrive.
        (0..2).for_each(|_| refused.extend(case.arrive("heavy", 0, HOLD, PATIENCE).err()));
        case.step();
    }
    let last = refused.last().expect("none is refused");
    assert_eq!(last.cause, Cause::Late);
    assert!(last.ahead <= 9 && last.rate.is_some_and(|rate| (70.0..90.0).contains(&rate)));
    assert!(last.expected > Some(PATIENCE) && last.retry_after >= RETRY_AFTER_MIN, "{last:?}");
    assert!(case.queue.len() <= 9, "{} wait", case.queue.len());
    assert!(case.arrive("light", 0, HOLD, PATIENCE).is_ok(), "the light workspace is refused");
}

/// Guards against requests that are refused, or told to come back late, because of a rate that is out of date.
#[test]
fn nothing_is_refused_early_when_targets_stop_answering() {
    let mut case = Case::new(4);
    for _ in 0..100 {
        case.fill("a", 0, 20, HOLD);
        case.step();
    }
    let last = |case: &Case, id: &str| {
        let until = case.now + PATIENCE;
        Request { until, ..case.request(id, "a", 0, LONG) }
    };
    let refused = last(&case, "refused");
    assert!(case.queue.enter(&refused, case.now).is_err(), "the rate is known");
    case.now += Duration::from_millis(1100);
    let queued = last(&case, "queued");
    case.queue.enter(&queued, case.now).expect("refused though the rate is unknown");
    let request = case.request("waited", "a", 0, PATIENCE);
    let refusal = case.queue.give_up(&request, case.now);
    assert_eq!((refusal.cause, refusal.rate), (Cause::Waited, None));
    assert_eq!(refusal.retry_after, RETRY_AFTER_MIN);
}

/// Guards against a caller that comes back behind the new requests of its workspace, or before those of others.
#[test]
fn a_returned_caller_goes_first_in_its_workspace() {
    let mut case = Case::new(1);
    let returned = case.request("returned", "a", 0, LONG);
    case.queue.give_up(&returned, case.now);
    let enter = |case: &mut Case, id: &str, workspace: &str, patience: Duration| {
        let request = case.request(id, workspace, 0, patience);
        case.queue.enter(&request, case.now).unwrap()
    };
    let late = enter(&mut case, "late", "a", LONG);
    let early = enter(&mut case, "early", "a", PATIENCE);
    let again = enter(&mut case, "returned", "a", LONG);
    let other = enter(&mut case, "returned", "b", LONG);
    let other_early = enter(&mut case, "early", "b", PATIENCE);
    let mut next = || case.queue.grant(case.now).unwrap().ticket;
    assert_eq!([next(), next()], [again, other_early]);
    assert_eq!([next(), next(), next()], [early, other, late]);
}

/// Guards against a request that is granted after its caller has given up, and against a place that stays taken.
#[test]
fn a_caller_that_gives_up_leaves_at_once() {
    let mut case = Case::new(1);
    let gone = case.arrive("a", 0, HOLD, PATIENCE).unwrap();
    let next = case.arrive("a", 0, HOLD, LONG).unwrap();
    case.queue.leave(gone, case.now);
    assert_eq!(case.queue.len(), 1);
    assert_eq!(case.queue.grant(case.now).unwrap().ticket, next);
    assert!(case.queue.grant(case.now).is_none());
}

/// Guards against a queue without bound, and against one workspace that takes all places.
#[test]
fn one_workspace_cannot_fill_the_queue() {
    let mut case = Case::new(1);
    for _ in 0..SHARE_LEN_MAX {
        case.arrive("heavy", 0, HOLD, LONG).unwrap();
    }
    assert_eq!(case.arrive("heavy", 0, HOLD, LONG).unwrap_err().cause, Cause::Full);
    assert!(case.arrive("light", 0, HOLD, LONG).is_ok());
}

/// Guards against requests that wait although a target has room again, and against many tries while none has.
#[test]
fn more_requests_try_until_one_is_refused() {
    let mut case = Case::new(1);
    case.fill("a", 0, 100, HOLD);
    let counts = [(); 4].map(|()| case.queue.tick(case.now).len());
    assert_eq!(counts, [1, 2, 4, 8]);
    let refused = case.queue.grant(case.now).unwrap();
    let request = case.request("refused", "a", 0, LONG);
    case.queue.enter_again(&request, &refused, case.now);
    assert_eq!(case.queue.tick(case.now).len(), 1);
}

/// Guards against a last try that is free for its workspace, or that takes from others what they have a claim to.
#[test]
fn a_last_try_is_charged_and_a_refused_one_is_not() {
    let mut case = Case::new(1);
    let last = case.request("last", "heavy", 0, PATIENCE);
    let ticket = case.queue.enter(&last, case.now).unwrap();
    case.queue.leave(ticket, case.now);
    let refused = case.queue.last_try(ticket, &last, case.now).unwrap();
    case.queue.refused(&refused);
    let served = case.queue.last_try(ticket, &last, case.now).unwrap();
    case.queue.end(&served, HOLD);
    let heavy = case.arrive("heavy", 0, HOLD, PATIENCE).unwrap();
    let light: Vec<Ticket> = (0..2).map(|_| case.arrive("light", 0, HOLD, LONG).unwrap()).collect();
    let granted = [(); 3].map(|()| case.queue.grant(case.now).unwrap().ticket);
    // One try of the heavy workspace is charged: the light one has a turn for it, and they are even.
    assert_eq!(granted, [light[0], heavy, light[1]]);
    case.arrive("light", 0, HOLD, LONG).unwrap();
    case.queue.free(case.now).unwrap();
    assert!(case.queue.last_try(ticket, &last, case.now).is_none(), "slots become free");
}
