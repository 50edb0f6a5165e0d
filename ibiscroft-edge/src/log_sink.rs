//! Log lines to standard output through a bounded queue that never blocks.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Lines that may wait for standard output; at 200 bytes a line about 400 kB.
const QUEUE_LINES: usize = 2_048;

/// Lines dropped because standard output was slow.
pub(crate) static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns a writer whose lines a thread of its own writes to standard output.
///
/// When the reader of standard output is slow, lines are dropped and counted; the next line that
/// passes is followed by the count.
///
/// # Errors
///
/// Returns why the thread cannot be started.
pub fn start_log_writer() -> io::Result<impl Write + Send + 'static> {
    let (tx, rx) = sync_channel(QUEUE_LINES);
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(64 << 10)
        .spawn(move || write_lines(&rx))?;
    Ok(LineQueue { tx })
}

#[derive(Debug)]
struct LineQueue {
    tx: SyncSender<Vec<u8>>,
}

impl Write for LineQueue {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if let Err(TrySendError::Full(_)) = self.tx.try_send(buf.to_vec()) {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Vec<u8>>) {
    let mut reported = 0;
    while let Ok(mut buf) = rx.recv() {
        while let Ok(more) = rx.try_recv() {
            buf.extend_from_slice(&more);
            if buf.len() > 16 << 10 {
                break;
            }
        }
        let dropped = DROPPED_LINES.load(Ordering::Relaxed);
        if dropped > reported {
            buf.extend_from_slice(format!("log lines dropped so far: {dropped}\n").as_bytes());
            reported = dropped;
        }
        // Standard output is the only place to report to; without it the lines are lost.
        let _ = io::stdout().lock().write_all(&buf);
    }
}
