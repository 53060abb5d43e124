//! Plan as text.

use std::fmt;

use crate::{
    dry_run::{Candidate, EngineInputs, Inputs, Plan, TargetInputs},
    prelude::*,
};

/// Milliseconds for reading.
struct Millis(Duration);

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.1} ms", self.0.as_secs_f64() * 1e3)
    }
}

/// Age that may be unknown.
struct Age(Option<Duration>);

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(age) => Millis(age).fmt(f),
            None => f.write_str("unknown"),
        }
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "host: {} (build {})", self.host, self.build)?;
        if let Some(route) = &self.route {
            writeln!(f, "route: {} ({}, priority {})", route.name, route.kind, route.priority)?;
        }
        if let Some(workspace) = &self.workspace {
            writeln!(f, "workspace: {workspace}")?;
        }
        writeln!(f, "service: {}", self.service)?;
        if let Some(leader) = &self.leader {
            let address = leader.address.map_or_else(|| "-".to_owned(), |it| it.to_string());
            let (fence, left) = (leader.fence.unwrap_or_default(), Millis(leader.lease_left));
            writeln!(f, "leader: {address} (fencing token {fence}, lease for {left})")?;
        }
        if let Some(job) = &self.job {
            let (model, min, deferred) = (&job.model, job.min_version, job.deferred);
            writeln!(
                f,
                "job: {} (model {model}, version {min} or later, priority {}, deferred: {deferred})",
                job.id, job.priority
            )?;
            writeln!(
                f,
                "items: {} waiting, next {}, {} jobs before it",
                job.waiting,
                job.next_item.as_deref().unwrap_or("none"),
                job.jobs_ahead
            )?;
        }
        let (config, registrations) = (Age(self.ages.config), Age(self.ages.registrations));
        let version = self.ages.config_version;
        writeln!(f, "configuration: version {version}, age {config}")?;
        writeln!(f, "registrations: age {registrations}")?;
        writeln!(f, "chosen: {}", self.chosen.as_deref().unwrap_or("none"))?;
        if let Some(wait) = &self.wait {
            writeln!(f, "reason: {} {}", wait.reason, wait.detail)?;
        }
        for candidate in &self.candidates {
            writeln!(f, "  {candidate}")?;
        }
        match self.omitted {
            0 => Ok(()),
            omitted => writeln!(f, "  and {omitted} others"),
        }
    }
}

impl fmt::Display for Candidate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} zone={} {}", self.id, self.zone, self.inputs)?;
        match &self.exclusion {
            Some(exclusion) => write!(f, " excluded: {exclusion}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Inputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Target(inputs) => inputs.fmt(f),
            Self::Engine(inputs) => inputs.fmt(f),
        }
    }
}

impl fmt::Display for TargetInputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { expected, average, in_flight, slots, zone_penalty, setup } = self;
        let (expected, average) = (Millis(*expected), Millis(*average));
        let (zone, setup) = (Millis(*zone_penalty), Millis(*setup));
        write!(
            f,
            "expected={expected} average={average} in_flight={in_flight}/{slots} zone_penalty={zone} setup={setup}"
        )
    }
}

impl fmt::Display for EngineInputs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("versions=")?;
        for (at, (model, version)) in self.versions.iter().enumerate() {
            let separator = if at > 0 { "," } else { "" };
            write!(f, "{separator}{model}:{version}")?;
        }
        let (free, slots) = (self.free_slots, self.slots);
        write!(f, " free={free}/{slots} pace={} cost={}", Millis(self.pace), Millis(self.cost))?;
        if let Some(expected) = self.expected {
            write!(f, " expected={}", Millis(expected))?;
        }
        let suffix = if self.comes_last { " after the others" } else { "" };
        f.write_str(suffix)
    }
}
