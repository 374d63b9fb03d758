//! The lines of structured logs.

use std::collections::BTreeMap;
use std::path::Path;

use jiff::Timestamp;
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};

use crate::error::{Error, Result};

/// One line of a host's log.
#[derive(Debug, Clone, Deserialize)]
pub struct LogLine {
    /// When it was written, by the host's time of day.
    pub timestamp: Timestamp,
    /// How much it matters.
    pub level: SmolStr,
    /// What was decided or seen.
    pub message: SmolStr,
    /// The word that precedes the line in its file, such as a host's name, or the file's name.
    #[serde(skip)]
    pub origin: SmolStr,
    /// Everything else that the line says.
    #[serde(flatten)]
    pub fields: BTreeMap<SmolStr, Value>,
}

impl LogLine {
    /// Returns a field as text, without quotes.
    pub fn text(&self, field: &str) -> SmolStr {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.into(),
            Some(value) => value.to_smolstr(),
            None => SmolStr::default(),
        }
    }

    /// Returns a field that is a number.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Tells whether a line is about something of this name.
    pub fn is_about(&self, field: &str, name: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(name)
    }
}

/// All lines of several logs in the order of their times.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The lines that could be read.
    pub lines: Vec<LogLine>,
    /// How many lines are no structured log lines.
    pub unreadable: usize,
}

impl Log {
    /// Reads files.
    ///
    /// # Errors
    ///
    /// Returns [`Error::File`] for a file that can't be read.
    pub fn read(paths: &[impl AsRef<Path>]) -> Result<Self> {
        let mut log = Self::default();
        for path in paths {
            let path = path.as_ref();
            let bytes = std::fs::read(path)
                .map_err(|source| Error::File { path: path.display().to_string(), source })?;
            let name = path.file_stem().unwrap_or_default().to_string_lossy();
            log.add(&name, &String::from_utf8_lossy(&bytes));
        }
        log.lines.sort_by_key(|line| line.timestamp);
        Ok(log)
    }

    /// Takes in the text of a log; the last word before the JSON of a line names its origin.
    pub fn add(&mut self, name: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let start = line.find('{').unwrap_or(line.len());
            let (before, json) = line.split_at(start);
            let Ok(mut read) = serde_json::from_str::<LogLine>(json) else {
                self.unreadable += 1;
                continue;
            };
            read.origin = before.split_whitespace().last().unwrap_or(name).into();
            self.lines.push(read);
        }
    }
}
