//! From the bytes of a file to its checked form.

use std::collections::BTreeSet;

use serde_json::{Value, error::Category};

use crate::{
    file::{Error, Snapshot, raw},
    prelude::*,
};

/// Longest file in bytes. The key-value service takes values of up to 1 MB and a frame holds 1 MiB.
pub const FILE_MAX_BYTES: usize = 512 * 1024;

/// Most faults of form that are listed; each costs one more pass over the file.
const FAULTS_MAX: usize = 64;

/// Reads and checks a file.
pub fn parse(body: &[u8], revision: Revision) -> Result<Snapshot, Error> {
    if body.len() > FILE_MAX_BYTES {
        let fault =
            format!(".: file has {} bytes, at most {FILE_MAX_BYTES} are allowed", body.len());
        return Err(Error::Invalid { faults: vec![fault.into()] });
    }
    let mut snapshot = Snapshot::try_from(read(body)?)?;
    snapshot.revision = revision;
    Ok(snapshot)
}

/// Digest of a body, equal on all hosts.
pub fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}

fn read(body: &[u8]) -> Result<raw::File, Error> {
    let deserializer = &mut serde_json::Deserializer::from_slice(body);
    let error = match serde_path_to_error::deserialize::<_, raw::File>(&mut *deserializer) {
        Ok(file) => {
            return deserializer
                .end()
                .map(|()| file)
                .map_err(|error| Error::Malformed { message: error.to_string().into() });
        }
        Err(error) => error,
    };
    if error.inner().classify() != Category::Data {
        return Err(Error::Malformed {
            message: format!("{}: {}", error.path(), error.inner()).into(),
        });
    }
    let first = format!("{}: {}", error.path(), error.inner());
    let value = serde_json::from_slice(body)
        .map_err(|error| Error::Malformed { message: error.to_string().into() })?;
    let mut faults = faults_of_form(value);
    if faults.is_empty() {
        // A name that stands twice is seen only in the text, as a `Value` keeps one of the two.
        faults.push(first.into());
    }
    Err(Error::Invalid { faults })
}

/// Lists all faults of form: reads the value again and again, each time without the part that was at fault.
fn faults_of_form(mut value: Value) -> Vec<Box<str>> {
    let mut faults = Vec::new();
    let mut removed = BTreeSet::new();
    while faults.len() < FAULTS_MAX {
        let Err(error) = serde_path_to_error::deserialize::<_, raw::File>(&value) else {
            break;
        };
        let (path, message) = (error.path().to_string(), error.inner().to_string());
        // A field that was taken away in an earlier pass is not missing in the operator's file.
        let follows = message
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next())
            .is_some_and(|field| removed.contains(&format!("{path}.{field}")));
        if !follows {
            faults.push(format!("{path}: {message}").into());
        }
        let segments: Vec<_> = error.path().iter().cloned().collect();
        if !remove(&mut value, &segments) {
            break;
        }
        removed.insert(path);
    }
    faults
}

fn remove(value: &mut Value, path: &[serde_path_to_error::Segment]) -> bool {
    use serde_path_to_error::Segment;
    let Some((segment, rest)) = path.split_first() else {
        return false;
    };
    match (segment, value) {
        (Segment::Map { key }, Value::Object(object)) if rest.is_empty() => {
            object.remove(key).is_some()
        }
        (Segment::Map { key }, Value::Object(object)) => {
            object.get_mut(key).is_some_and(|inner| remove(inner, rest))
        }
        // An element is emptied by its whole list, as the places of the others would change.
        (Segment::Seq { .. }, Value::Array(list)) if rest.is_empty() => {
            !std::mem::take(list).is_empty()
        }
        (Segment::Seq { index }, Value::Array(list)) => {
            list.get_mut(*index).is_some_and(|inner| remove(inner, rest))
        }
        _ => false,
    }
}
