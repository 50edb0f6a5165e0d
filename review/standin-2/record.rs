//! What was sent, answered and run.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// One line of the record.
#[derive(Clone, Debug)]
pub struct Line {
    /// Seconds since the start.
    pub at: f64,
    pub what: &'static str,
    /// Id of the request, if any.
    pub request: String,
    /// Target or gateway.
    pub place: String,
    pub detail: String,
}

/// The record; clones share it.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<Line>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn add(&self, what: &'static str, request: &str, place: &str, detail: &str) {
        let (request, place, detail) = (request.to_string(), place.to_string(), detail.to_string());
        let mut lines = self.lines.lock().expect("record");
        lines.push(Line { at: self.now(), what, request, place, detail });
    }

    pub fn lines(&self) -> Vec<Line> {
        self.lines.lock().expect("record").clone()
    }

    /// Writes the record to a file, after the lines of `verdict`.
    pub fn write(&self, path: &str, verdict: &[String]) {
        let mut text = verdict.join("\n") + "\n\n";
        for Line { at, what, request, place, detail } in self.lines() {
            text.push_str(&format!("{at:9.3} {what:10} {request:14} {place:10} {detail}\n"));
        }
        if let Err(error) = std::fs::write(path, text) {
            eprintln!("write {path}: {error}");
        }
    }
}
