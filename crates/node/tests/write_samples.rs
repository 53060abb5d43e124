//! Writes the encoded samples of a build to the folder that `LAGOONYARD_SAMPLES` names; used by `scripts/samples.sh`.

mod samples;

use std::{env, fs, path::PathBuf};

#[test]
fn samples_have_names_of_their_own() {
    let all = samples::samples();
    let mut names: Vec<&str> = all.iter().map(|sample| sample.name).collect();
    names.sort_unstable();
    names.dedup();
    assert_eq!(names.len(), all.len());
    let Some(folder) = env::var_os("LAGOONYARD_SAMPLES").map(PathBuf::from) else {
        return;
    };
    for sample in all {
        fs::write(folder.join(sample.name), sample.bytes).unwrap();
    }
}
