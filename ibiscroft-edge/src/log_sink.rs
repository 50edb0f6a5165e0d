//! Non-blocking writer of log lines to standard output.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

/// Maximum number of queued lines; about 400 kB at 200 bytes a line.
const MAX_QUEUED_LINES: usize = 2_048;

/// Number of lines dropped because the queue was full.
pub(crate) static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Starts a thread that writes log lines to standard output, and returns a writer that queues
/// lines for it.
///
/// The writer never blocks. When standard output is slow and the queue is full, lines are dropped
/// and counted; the total is written after the next lines that get through.
///
/// # Errors
///
/// Returns an error if the thread cannot be started.
pub fn start_log_writer() -> io::Result<impl Write + Send + 'static> {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    std::thread::Builder::new()
        .name("log".to_string())
        .stack_size(64 << 10)
        .spawn(move || write_lines(&rx))?;
    Ok(LineQueue { tx })
}

/// Writer that queues each buffer it is given as one line.
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

/// Writes queued lines in batches until the writer is dropped.
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
        // A failure cannot be reported, because standard output is the only log destination.
        let _ = io::stdout().lock().write_all(&buf);
    }
}
