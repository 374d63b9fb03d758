//! Parses the lines of structured logs.

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
    /// The time of writing, by the host's wall clock.
    pub timestamp: Timestamp,
    /// The severity, such as `WARN`.
    pub level: SmolStr,
    /// The message, which names the event.
    pub message: SmolStr,
    /// The word before the JSON in the file, such as a host's name, or else the file's name.
    #[serde(skip)]
    pub origin: SmolStr,
    /// All other fields of the line.
    #[serde(flatten)]
    pub fields: BTreeMap<SmolStr, Value>,
}

impl LogLine {
    /// Returns a field as text without quotes, or an empty text if the line lacks it.
    pub fn text(&self, field: &str) -> SmolStr {
        match self.fields.get(field) {
            Some(Value::String(text)) => text.into(),
            Some(value) => value.to_smolstr(),
            None => SmolStr::default(),
        }
    }

    /// Returns a numeric field, or `None` if the line lacks it.
    pub fn number(&self, field: &str) -> Option<f64> {
        self.fields.get(field).and_then(Value::as_f64)
    }

    /// Returns whether the line has a text field with this value.
    pub fn has_field(&self, field: &str, value: &str) -> bool {
        self.fields.get(field).and_then(Value::as_str) == Some(value)
    }
}

/// All lines of several logs, ordered by time.
#[derive(Debug, Clone, Default)]
pub struct Log {
    /// The lines that could be parsed.
    pub lines: Vec<LogLine>,
    /// Number of lines that are not structured log lines.
    pub malformed: usize,
}

impl Log {
    /// Reads log files.
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

    /// Parses the text of a log; the last word before the JSON of a line names its origin.
    pub fn add(&mut self, name: &str, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let start = line.find('{').unwrap_or(line.len());
            let (before, json) = line.split_at(start);
            let Ok(mut read) = serde_json::from_str::<LogLine>(json) else {
                self.malformed += 1;
                continue;
            };
            read.origin = before.split_whitespace().last().unwrap_or(name).into();
            self.lines.push(read);
        }
    }
}
