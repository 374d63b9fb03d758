//! Stand-ins for the cases of the review: the platform's store, backend servers, callers, and the
//! daemons as processes. Only the standard library is used.
//!
//! `kit CASE DIRECTORY` plays one case and writes `record.txt` into the directory. It ends with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod cases;
mod daemon;
mod http;
mod server;
mod store;

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The record of a case: what was sent, answered and run, with the milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn now_ms(&self) -> f64 {
        self.began.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:10.1} {text}", self.now_ms());
    }

    /// Writes a line to the record and to the terminal.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

/// A small generator of random numbers.
pub struct Random(u64);

impl Random {
    pub fn new(salt: u64) -> Self {
        let time = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        let mut random =
            Self(time.as_nanos() as u64 ^ salt.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound
    }

    pub fn chance(&mut self, share: f64) -> bool {
        ((self.next() >> 11) as f64 / (1u64 << 53) as f64) < share
    }
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(directory)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: kit CASE DIRECTORY");
        std::process::exit(2);
    };
    let file = File::create(format!("{directory}/record.txt"));
    let Ok(file) = file else {
        eprintln!("record.txt can't be written in {directory}");
        std::process::exit(2);
    };
    let record = Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) };
    daemon::limit_time(Duration::from_secs(115));
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record
        .say(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let result = cases::play(&case, &record, trouble);
    let code = match result {
        Ok(true) => {
            record.say("result: the rule was broken");
            1
        }
        Ok(false) => {
            record.say("result: the rule held");
            0
        }
        Err(why) => {
            record.say(&format!("result: the case could not run: {why}"));
            2
        }
    };
    std::process::exit(code);
}
