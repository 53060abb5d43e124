//! Configuration body in the data folder of a host that has one.

use std::{
    fs::{self, File},
    io::{self, Read, Write},
    path::Path,
};

/// Longest body read back; the store takes values up to 1 MB.
const BODY_MAX_BYTES: u64 = 8 * 1024 * 1024;

const FILE_NAME: &str = "config";

/// The body written last, `None` when there is none.
pub fn read(dir: &Path) -> io::Result<Option<Vec<u8>>> {
    let file = match File::open(dir.join(FILE_NAME)) {
        Ok(file) => file,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error),
    };
    let mut body = Vec::new();
    file.take(BODY_MAX_BYTES).read_to_end(&mut body)?;
    Ok(Some(body))
}

/// Replaces the body. A crash at any point leaves the old body or the new one, never a part.
pub fn write(dir: &Path, body: &[u8]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let draft = dir.join("config.new");
    let mut file = File::create(&draft)?;
    file.write_all(body)?;
    file.sync_all()?;
    fs::rename(&draft, dir.join(FILE_NAME))?;
    // The rename itself is durable only once the folder is.
    File::open(dir)?.sync_all()
}
