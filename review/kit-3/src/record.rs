//! What was sent, answered and run, in the order in which the script saw it.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { file: Arc::new(Mutex::new(File::create(path)?)), started: Instant::now() })
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:9.3} s  {}\n", text.as_ref());
        if let Ok(mut file) = self.file.lock() {
            let _ = file.write_all(line.as_bytes());
        }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }
}
