//! Structured logging to standard output that never blocks the request path.
//!
//! Lines are collected in a bounded buffer that a separate thread writes out. Lines that don't fit
//! are dropped, and their number is logged with the next write. See `docs/OPERATIONS.md`.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The capacity of the buffer, which holds about one second of a busy host's lines.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// The interval at which the buffer is written out.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// The log filter if `QUETZAL_LOG` is not set.
const DEFAULT_FILTER: &str = "info";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// A bounded buffer of lines for the thread that writes them.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    buffer: Arc<Mutex<Buffer>>,
    limit: usize,
}

impl LineBuffer {
    /// Creates an empty buffer that holds at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { buffer: Arc::default(), limit }
    }

    /// Writes out the number of lines dropped since the last write, if any, and the buffered lines.
    ///
    /// # Errors
    ///
    /// Returns the error of the writer. The lines are lost in this case.
    pub fn flush_to(&self, out: &mut impl Write) -> io::Result<()> {
        let taken = std::mem::take(&mut *self.buffer.lock().expect("no holder of the lock panics"));
        if taken.dropped > 0 {
            let dropped_line = serde_json::json!({ "level": "WARN",
                "message": "log lines were dropped", "count": taken.dropped });
            writeln!(out, "{dropped_line}")?;
        }
        out.write_all(&taken.bytes)?;
        out.flush()
    }
}

impl Write for &LineBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.buffer.lock().expect("no holder of the lock panics");
        if buffer.bytes.len() + line.len() > self.limit {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LineBuffer {
    type Writer = &'a Self;

    fn make_writer(&'a self) -> Self::Writer {
        self
    }
}

/// Starts logging to standard output. Returns the buffer, which the caller flushes once more before
/// it exits.
pub fn start() -> LineBuffer {
    let buffer = LineBuffer::new(MAX_BUFFERED_BYTES);
    let filter = EnvFilter::try_from_env("QUETZAL_LOG").unwrap_or_else(|_| DEFAULT_FILTER.into());
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(buffer.clone())
        .json()
        .flatten_event(true)
        .init();
    let shared = buffer.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(FLUSH_INTERVAL);
            if shared.flush_to(&mut io::stdout().lock()).is_err() {
                // Standard output can't be written any more; lines are dropped once the buffer is
                // full.
                return;
            }
        }
    });
    buffer
}

#[cfg(test)]
mod tests;
