//! The record of a run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Lines with the time since the start of the case.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(folder: &str) -> std::io::Result<Self> {
        let file = File::create(Path::new(folder).join("record.txt"))?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new(file)))))
    }

    pub fn line(&self, text: &str) {
        let ms = self.0.0.elapsed().as_millis();
        let mut file = self.0.1.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {text}");
    }
}
