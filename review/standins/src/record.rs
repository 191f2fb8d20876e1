//! The record of a run: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(File::create(path)?)),
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_millis();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:4}.{:03} {text}", at / 1_000, at % 1_000);
        }
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.note(text);
        println!("{text}");
    }
}
