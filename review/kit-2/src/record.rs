//! Record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines to a file, from any thread.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    /// Seconds since the start.
    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().expect("no writer panics");
        // Without the record the exit status still tells the result.
        let _ = writeln!(file, "{:9.3} {}", self.seconds(), text.as_ref());
        let _ = file.flush();
    }
}
