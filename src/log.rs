//! Structured log lines on standard output that never block the request path.
//!
//! Lines gather in a bounded buffer, which a thread of its own writes out; what finds it full is
//! counted and said in the next line that fits. See `docs/OPERATIONS.md`.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// The most that waits to be written, in bytes; about a second of a busy host's lines.
const MAX_BUFFERED_BYTES: usize = 1 << 20;
/// How often the buffer is written out.
const FLUSH_EVERY: Duration = Duration::from_millis(250);
/// What is logged unless `QUETZAL_LOG` says otherwise.
const DEFAULT_FILTER: &str = "info";

#[derive(Debug, Default)]
struct Buffer {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Hands lines to the thread that writes them.
#[derive(Debug, Clone, Default)]
pub struct LineBuffer {
    buffer: Arc<Mutex<Buffer>>,
    limit: usize,
}

impl LineBuffer {
    /// Starts empty; `limit` bounds the bytes that wait.
    pub fn new(limit: usize) -> Self {
        Self { buffer: Arc::default(), limit }
    }

    /// Writes out what waits and how much was dropped before it.
    ///
    /// # Errors
    ///
    /// Returns what the writer said; the lines are lost then.
    pub fn flush_to(&self, out: &mut impl Write) -> io::Result<()> {
        let full = std::mem::take(&mut *self.buffer.lock().expect("no holder of the lock panics"));
        if full.dropped > 0 {
            let lost = serde_json::json!({ "level": "WARN", "message": "log lines were dropped",
                "count": full.dropped });
            writeln!(out, "{lost}")?;
        }
        out.write_all(&full.bytes)?;
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

/// Starts logging to standard output and returns the buffer, to be flushed once more at the end.
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
    let waiting = buffer.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(FLUSH_EVERY);
            if waiting.flush_to(&mut io::stdout().lock()).is_err() {
                // Nobody reads the log any more; lines are dropped once the buffer is full.
                return;
            }
        }
    });
    buffer
}

#[cfg(test)]
mod tests;
