//! Parses a file and lists the faults of its JSON structure.

use std::collections::BTreeSet;

use serde_json::{Value, error::Category};

use crate::{
    file::{Error, Snapshot, raw},
    prelude::*,
};

/// Maximum size of a file. The key-value store accepts values of up to 1 MB and a frame holds 1 MiB.
pub const FILE_MAX_BYTES: usize = 512 * 1024;

/// Maximum number of listed structure faults; each takes another pass over the file.
const FAULTS_MAX: usize = 64;

/// Parses and validates a file.
pub fn parse(body: &[u8], revision: Revision) -> Result<Snapshot, Error> {
    if body.len() > FILE_MAX_BYTES {
        let fault = format!(".: file has {} bytes, the maximum is {FILE_MAX_BYTES}", body.len());
        return Err(Error::Invalid { faults: vec![fault.into()] });
    }
    let mut snapshot = Snapshot::try_from(deserialize(body)?)?;
    snapshot.revision = revision;
    Ok(snapshot)
}

/// Digest of a body; the same on all hosts.
pub fn digest(body: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(body)
}

fn deserialize(body: &[u8]) -> Result<raw::File, Error> {
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
    let mut faults = structure_faults(value);
    if faults.is_empty() {
        // A duplicate name is found only in the text: a `Value` keeps just one of the two.
        faults.push(first.into());
    }
    Err(Error::Invalid { faults })
}

/// Lists all faults of the structure. Deserialization stops at the first fault, so the faulty part is removed and the
/// rest deserialized again.
fn structure_faults(mut value: Value) -> Vec<Box<str>> {
    let mut faults = Vec::new();
    let mut removed = BTreeSet::new();
    while faults.len() < FAULTS_MAX {
        let Err(error) = serde_path_to_error::deserialize::<_, raw::File>(&value) else {
            break;
        };
        let (path, message) = (error.path().to_string(), error.inner().to_string());
        // A field that an earlier pass removed is not missing in the operator's file.
        let was_removed = message
            .strip_prefix("missing field `")
            .and_then(|rest| rest.split('`').next())
            .is_some_and(|field| removed.contains(&format!("{path}.{field}")));
        if !was_removed {
            faults.push(format!("{path}: {message}").into());
        }
        let segments: Vec<_> = error.path().iter().cloned().collect();
        if !remove_at(&mut value, &segments) {
            break;
        }
        removed.insert(path);
    }
    faults
}

fn remove_at(value: &mut Value, path: &[serde_path_to_error::Segment]) -> bool {
    use serde_path_to_error::Segment;
    let Some((segment, rest)) = path.split_first() else {
        return false;
    };
    match (segment, value) {
        (Segment::Map { key }, Value::Object(object)) if rest.is_empty() => {
            object.remove(key).is_some()
        }
        (Segment::Map { key }, Value::Object(object)) => {
            object.get_mut(key).is_some_and(|inner| remove_at(inner, rest))
        }
        // The whole list is cleared instead of one element, which would change the indexes of the others.
        (Segment::Seq { .. }, Value::Array(list)) if rest.is_empty() => {
            !std::mem::take(list).is_empty()
        }
        (Segment::Seq { index }, Value::Array(list)) => {
            list.get_mut(*index).is_some_and(|inner| remove_at(inner, rest))
        }
        _ => false,
    }
}
