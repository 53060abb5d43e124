//! `report`: sums the event counts of all given hosts and computes the burn rates from the sums.

use std::collections::BTreeMap;

use bytes::Bytes;
use futures::future;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{
    Client, Error, Report, Result, Run,
    print::{self, Format},
};

const ACTION: &str = "read the report";
const WINDOWS: [&str; 4] = ["5m", "30m", "1h", "6h"];

/// Event counts and burn rate of a window.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Window {
    good: u64,
    total: u64,
    burn: f64,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Objective {
    objective: f64,
    windows: BTreeMap<Box<str>, Window>,
}

#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Trainer {
    idle_ms: u64,
    total_ms: u64,
    idle_share: f64,
    samples_delivered: u64,
    samples_too_old: u64,
    staleness_mean_versions: f64,
    staleness_max_versions: u64,
}

/// Counts of a host, or their sum over hosts.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct Counts {
    yards: BTreeMap<Box<str>, BTreeMap<Box<str>, Objective>>,
    trainers: BTreeMap<Box<str>, Trainer>,
}

impl Run for Report {
    async fn run(self) -> Result<()> {
        let clients = Client::operator(&self.operator)?.per_host();
        let answers = clients.iter().map(|client| async {
            let answer = client.send(Method::GET, "/v1/admin/report", &[], Bytes::new()).await;
            let answer = answer.map_err(|_| client.unavailable(ACTION))?;
            answer.json::<Counts>(ACTION)
        });
        let mut sum = Counts::default();
        let (mut hosts, mut missing) = (0, Vec::new());
        for (host, counts) in self.operator.hosts.iter().zip(future::join_all(answers).await) {
            match counts {
                Ok(counts) => {
                    sum.add(counts);
                    hosts += 1;
                }
                Err(Error::Unavailable { .. }) => missing.push(host.clone()),
                Err(error) => return Err(error),
            }
        }
        if hosts > 0 {
            sum.print(hosts, self.json.into())?;
        }
        if missing.is_empty() {
            return Ok(());
        }
        Err(Error::Unavailable { action: "read the report of all hosts".into(), hosts: missing })
    }
}

impl Counts {
    fn add(&mut self, other: Self) {
        for (yard, objectives) in other.yards {
            let yard = self.yards.entry(yard).or_default();
            for (name, objective) in objectives {
                yard.entry(name).or_default().add(objective);
            }
        }
        for (name, trainer) in other.trainers {
            self.trainers.entry(name).or_default().add(&trainer);
        }
    }

    fn print(&self, hosts: usize, format: Format) -> Result<()> {
        if format == Format::Json {
            return print::line(
                &json!({"hosts": hosts, "yards": self.yards, "trainers": self.trainers})
                    .to_string(),
            );
        }
        print::table(&self.objective_rows())?;
        if !self.trainers.is_empty() {
            print::line("")?;
            print::table(&self.trainer_rows())?;
        }
        Ok(())
    }

    /// Rows per yard and objective with a column per window.
    fn objective_rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![vec!["yard".to_owned(), "objective".to_owned(), "goal".to_owned()]];
        rows[0].extend(WINDOWS.map(|window| format!("burn {window}")));
        for (yard, objectives) in &self.yards {
            for (name, objective) in objectives {
                let goal = format!("{:.1}%", 100.0 * objective.objective);
                let mut row = vec![yard.to_string(), name.to_string(), goal];
                row.extend(
                    WINDOWS.map(|window| {
                        objective.windows.get(window).map_or("-".into(), Window::cell)
                    }),
                );
                rows.push(row);
            }
        }
        rows
    }

    fn trainer_rows(&self) -> Vec<Vec<String>> {
        let names = ["trainer", "idle", "delivered", "too old", "mean age", "highest age"];
        let mut rows = vec![names.map(str::to_owned).to_vec()];
        for (name, trainer) in &self.trainers {
            rows.push(vec![
                name.to_string(),
                format!("{:.1}%", 100.0 * trainer.idle_share),
                trainer.samples_delivered.to_string(),
                trainer.samples_too_old.to_string(),
                format!("{:.2}", trainer.staleness_mean_versions),
                trainer.staleness_max_versions.to_string(),
            ]);
        }
        rows
    }
}

impl Objective {
    fn add(&mut self, other: Self) {
        self.objective = other.objective;
        for (name, window) in other.windows {
            let sum = self.windows.entry(name).or_default();
            sum.good += window.good;
            sum.total += window.total;
            sum.burn = (1.0 - share(sum.good, sum.total, 1.0)) / (1.0 - self.objective);
        }
    }
}

impl Window {
    /// Burn rate and number of events; a dash if the window has no events.
    fn cell(&self) -> String {
        if self.total == 0 {
            return "-".into();
        }
        format!("{:.2} of {}", self.burn, self.total)
    }
}

impl Trainer {
    fn add(&mut self, other: &Self) {
        let ages =
            |trainer: &Self| trainer.staleness_mean_versions * trainer.samples_delivered as f64;
        let ages = ages(self) + ages(other);
        self.idle_ms += other.idle_ms;
        self.total_ms += other.total_ms;
        self.idle_share = share(self.idle_ms, self.total_ms, 0.0);
        self.samples_delivered += other.samples_delivered;
        self.samples_too_old += other.samples_too_old;
        self.staleness_mean_versions = ages / self.samples_delivered.max(1) as f64;
        self.staleness_max_versions = self.staleness_max_versions.max(other.staleness_max_versions);
    }
}

fn share(part: u64, total: u64, default: f64) -> f64 {
    if total == 0 { default } else { part as f64 / total as f64 }
}
