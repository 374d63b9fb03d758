//! Stand-ins and cases of the second review. Each case starts daemons of the platform as processes.
//!
//! `cases NAME FOLDER` runs a case and writes `record.txt` into FOLDER. It exits with 1 if the rule
//! was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the case runs without
//! its disruption.

mod blobs;
mod cold;
mod daemon;
mod endless;
mod http;
mod record;
mod store;
mod unsigned;
mod upload;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("record.txt can't be written: {error}");
            exit(2);
        }
    };
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let result = match name.as_str() {
        "endless" => endless::run(&record, trouble),
        "unsigned" => unsigned::run(&record, trouble),
        "upload" => upload::run(&record, trouble),
        "cold" => cold::run(&record, trouble),
        "blobs" => blobs::run(&record, trouble),
        _ => Err(format!("no case is named {name}")),
    };
    let code = match result {
        Ok(true) => {
            record.line("result: the rule was broken");
            1
        }
        Ok(false) => {
            record.line("result: the rule held");
            0
        }
        Err(error) => {
            record.line(&format!("result: the case could not run: {error}"));
            2
        }
    };
    daemon::stop_all();
    exit(code);
}
