//! Copy of the configuration in the optional data folder, from which a host starts without the store and its peers.

use std::{
    fs::{self, File},
    io::{self, Read, Write},
    path::Path,
};

/// Limit on the bytes read; the store accepts values up to 1 MB.
const BODY_MAX_BYTES: u64 = 8 * 1024 * 1024;

const FILE_NAME: &str = "config";

/// Body written last, `None` if there is none.
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

/// Replaces the body atomically: a crash at any point leaves either the old or the new body.
pub fn write(dir: &Path, body: &[u8]) -> io::Result<()> {
    fs::create_dir_all(dir)?;
    let draft = dir.join("config.new");
    let mut file = File::create(&draft)?;
    file.write_all(body)?;
    file.sync_all()?;
    fs::rename(&draft, dir.join(FILE_NAME))?;
    // The rename is durable only after the folder itself is synced.
    File::open(dir)?.sync_all()
}
