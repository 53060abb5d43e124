//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::{Arc, Mutex},
    time::Instant,
};

/// Handle of a record.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record is created");
        Self { file: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(file, "{at:9.4} {text}");
        let _ = file.flush();
    }
}
