//! Name of the build of a program.

use std::sync::LazyLock;

/// Name of this build. The commit is taken from the variable `LAGOONYARD_COMMIT` in the environment of the compiler.
pub static BUILD: LazyLock<Box<str>> =
    LazyLock::new(|| name(env!("CARGO_PKG_VERSION"), option_env!("LAGOONYARD_COMMIT")));

/// Names a build by the version of its package and, if known, its commit, in the form of semantic versioning.
pub fn name(version: &str, commit: Option<&str>) -> Box<str> {
    match commit.map(str::trim).filter(|commit| !commit.is_empty()) {
        Some(commit) => format!("{version}+{commit}").into(),
        None => version.into(),
    }
}
