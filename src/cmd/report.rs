use http::Method;
use serde_json::Value;

use super::{Client, Report, Result, Run, print};

impl Run for Report {
    async fn run(self) -> Result<()> {
        let mut client = Client::operator(&self.operator)?;
        let report: Value = client.read("read the report", Method::GET, "/v1/admin/report").await?;
        if self.json {
            return print::value(&report, true);
        }
        print::table(&objectives(&report))?;
        let trainers = trainers(&report);
        if trainers.len() > 1 {
            print::line("")?;
            print::table(&trainers)?;
        }
        Ok(())
    }
}

fn fields(value: &Value) -> impl Iterator<Item = (&String, &Value)> {
    value.as_object().into_iter().flatten()
}

/// One row a yard and objective, one column a window.
fn objectives(report: &Value) -> Vec<Vec<String>> {
    const WINDOWS: [&str; 4] = ["5m", "30m", "1h", "6h"];
    let mut rows = vec![vec!["yard".to_owned(), "objective".to_owned(), "goal".to_owned()]];
    rows[0].extend(WINDOWS.map(|window| format!("burn {window}")));
    for (yard, objectives) in fields(&report["yards"]) {
        for (name, objective) in fields(objectives) {
            let goal = objective["objective"].as_f64().unwrap_or(0.0);
            let mut row = vec![yard.clone(), name.clone(), format!("{:.1}%", 100.0 * goal)];
            row.extend(WINDOWS.map(|window| burn(&objective["windows"][window])));
            rows.push(row);
        }
    }
    rows
}

/// Burn with its number of events; a window without events shows a dash.
fn burn(window: &Value) -> String {
    match window["total"].as_u64() {
        None | Some(0) => "-".into(),
        Some(total) => format!("{:.2} of {total}", window["burn"].as_f64().unwrap_or(0.0)),
    }
}

fn trainers(report: &Value) -> Vec<Vec<String>> {
    let names = ["trainer", "idle", "delivered", "too old", "mean age", "highest age"];
    let mut rows = vec![names.map(str::to_owned).to_vec()];
    for (trainer, totals) in fields(&report["trainers"]) {
        let number = |name: &str| totals[name].as_u64().unwrap_or(0).to_string();
        let share = |name: &str| totals[name].as_f64().unwrap_or(0.0);
        rows.push(vec![
            trainer.clone(),
            format!("{:.1}%", 100.0 * share("idle_share")),
            number("samples_delivered"),
            number("samples_too_old"),
            format!("{:.2}", share("staleness_mean_versions")),
            number("staleness_max_versions"),
        ]);
    }
    rows
}
