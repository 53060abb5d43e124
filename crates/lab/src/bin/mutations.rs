//! Shows that scenarios can fail: takes one mechanism at a time out of a copy of the sources and expects the scenario
//! that guards it to fail.

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

/// One mechanism taken out.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Mutation {
    name: Box<str>,
    promise: Box<str>,
    file: Box<str>,
    old: Box<str>,
    new: Box<str>,
    /// Arguments of the scenario program, which has to fail.
    scenario: Vec<Box<str>>,
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
    for part in ["src", "crates", "Cargo.toml", "Cargo.lock"] {
        copy(Path::new(part), &Path::new(COPY).join(part))?;
    }
    let (mut caught, mut missed) = (0, 0);
    for mutation in list.iter().filter(|mutation| mutation.name.contains(wanted)) {
        let path = Path::new(COPY).join(&*mutation.file);
        let text = fs::read_to_string(&path)?;
        let verdict = if text.matches(&*mutation.old).count() == 1 {
            fs::write(&path, text.replacen(&*mutation.old, &mutation.new, 1))?;
            let verdict = verdict(mutation)?;
            fs::write(&path, text)?;
            verdict
        } else {
            Err("its text does not stand exactly once in the file".into())
        };
        match verdict {
            Ok(fault) => {
                caught += 1;
                println!("caught {} {}: {fault}", mutation.promise, mutation.name);
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

/// First fault that the scenario reports, or why none was seen.
fn verdict(mutation: &Mutation) -> io::Result<Result<String, String>> {
    let build = [
        "build",
        "--quiet",
        "--locked",
        "-p",
        "lagoonyard-lab",
        "--bin",
        "scenario",
    ];
    let built = Command::new("cargo")
        .args(build)
        .current_dir(COPY)
        .env("CARGO_TARGET_DIR", std::env::current_dir()?.join(BUILD))
        .env("RUSTFLAGS", "-Awarnings")
        .output()?;
    if !built.status.success() {
        return Ok(Err(format!(
            "it does not build: {}",
            String::from_utf8_lossy(&built.stderr)
        )));
    }
    let program = Path::new(BUILD).join("debug/scenario");
    let ran = Command::new(program)
        .args(mutation.scenario.iter().map(|arg| &**arg))
        .output()?;
    let text = String::from_utf8_lossy(&ran.stdout).into_owned();
    if ran.status.success() {
        return Ok(Err("the scenario passed without the mechanism".into()));
    }
    let fault = text
        .lines()
        .find(|line| line.starts_with("     "))
        .unwrap_or("no fault was printed");
    Ok(Ok(fault.trim().chars().take(120).collect()))
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
