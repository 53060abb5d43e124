//! Mutation tests for the scenarios: each mutation removes one mechanism from a copy of the sources, and the scenario
//! that guards the mechanism has to fail with the expected text.

use std::{
    fs, io,
    path::Path,
    process::{Command, ExitCode},
};

use clap::Parser;
use serde::Deserialize;

/// Runs each mutation of `crates/lab/mutations.json` on a copy of the sources.
#[derive(Parser)]
struct Options {
    /// Only mutations whose name contains this text.
    #[arg(default_value = "")]
    name: Box<str>,
}

/// Removal of one mechanism.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutation {
    name: Box<str>,
    promise: Box<str>,
    edits: Vec<Edit>,
    /// Arguments of the `scenario` program, which has to fail.
    scenario: Vec<Box<str>>,
    /// Text that one of the printed failures has to contain.
    fault: Box<str>,
}

/// Replacement of a text that occurs exactly once in a file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Edit {
    file: Box<str>,
    old: Box<str>,
    new: Box<str>,
}

const LIST: &str = "crates/lab/mutations.json";
const COPY: &str = "target/mutations/tree";
const BUILD: &str = "target/mutations/build";

fn main() -> ExitCode {
    let options = Options::parse();
    match run(&options.name) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("could not run the mutations: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(wanted: &str) -> io::Result<u32> {
    let list: Vec<Mutation> = serde_json::from_str(&fs::read_to_string(LIST)?)?;
    for part in ["src", "crates", "platform", "Cargo.toml", "Cargo.lock"] {
        copy(Path::new(part), &Path::new(COPY).join(part))?;
    }
    let (mut caught, mut missed) = (0, 0);
    for mutation in list.iter().filter(|mutation| mutation.name.contains(wanted)) {
        let verdict = if apply(&mutation.edits)? {
            verdict(mutation)?
        } else {
            Err("the text to be replaced does not occur exactly once in its file".into())
        };
        for edit in &mutation.edits {
            fs::copy(&*edit.file, Path::new(COPY).join(&*edit.file))?;
        }
        match verdict {
            Ok(failure) => {
                caught += 1;
                println!("caught {} {}: {failure}", mutation.promise, mutation.name);
            }
            Err(text) => {
                missed += 1;
                println!("MISSED {} {}: {text}", mutation.promise, mutation.name);
            }
        }
    }
    println!("{caught} passed, {missed} failed");
    Ok(missed)
}

/// Edits the copy; returns whether every text occurs exactly once in its file.
fn apply(edits: &[Edit]) -> io::Result<bool> {
    for edit in edits {
        let path = Path::new(COPY).join(&*edit.file);
        let text = fs::read_to_string(&path)?;
        if text.matches(&*edit.old).count() != 1 {
            return Ok(false);
        }
        fs::write(&path, text.replacen(&*edit.old, &edit.new, 1))?;
    }
    Ok(true)
}

/// First matching failure that the scenario reports, or the reason why there is none.
fn verdict(mutation: &Mutation) -> io::Result<Result<String, String>> {
    let build = ["build", "--quiet", "--locked", "-p", "lagoonyard-lab", "--bin", "scenario"];
    let built = Command::new("cargo")
        .args(build)
        .current_dir(COPY)
        .env("CARGO_TARGET_DIR", std::env::current_dir()?.join(BUILD))
        .env("RUSTFLAGS", "-Awarnings")
        .output()?;
    if !built.status.success() {
        return Ok(Err(format!(
            "the mutated copy does not build: {}",
            String::from_utf8_lossy(&built.stderr)
        )));
    }
    let program = Path::new(BUILD).join("debug/scenario");
    let ran = Command::new(program).args(mutation.scenario.iter().map(|arg| &**arg)).output()?;
    let text = String::from_utf8_lossy(&ran.stdout).into_owned();
    if ran.status.success() {
        return Ok(Err("the scenario passed although the mechanism was removed".into()));
    }
    let mut failures = text.lines().filter(|line| line.starts_with("     ")).map(str::trim);
    match failures.clone().find(|line| line.contains(&*mutation.fault)) {
        Some(failure) => Ok(Ok(failure.chars().take(120).collect())),
        None => Ok(Err(format!(
            "the scenario failed with another text: {}",
            failures.next().unwrap_or("no failure was printed")
        ))),
    }
}

fn copy(from: &Path, to: &Path) -> io::Result<()> {
    if from.is_file() {
        if let Some(folder) = to.parent() {
            fs::create_dir_all(folder)?;
        }
        let same = fs::read(to).is_ok_and(|old| fs::read(from).is_ok_and(|new| old == new));
        if !same {
            fs::copy(from, to)?;
        }
        return Ok(());
    }
    for entry in fs::read_dir(from)? {
        let entry = entry?;
        copy(&entry.path(), &to.join(entry.file_name()))?;
    }
    Ok(())
}
