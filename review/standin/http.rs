//! Minimal HTTP/1.1 on blocking sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Start line and header fields, without the empty line.
    pub head: String,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the message was received completely.
    pub is_complete: bool,
}

impl Message {
    /// Returns the value of a header field.
    pub fn field(&self, name: &str) -> Option<&str> {
        field(&self.head, name)
    }

    /// Returns a word of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.head.lines().next().unwrap_or("").split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status code of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Returns the value of a header field of `head`.
pub fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then_some(value.trim())
    })
}

/// Reads messages from a connection; bytes behind a message stay in `buf`.
pub struct Reader {
    buf: Vec<u8>,
}

impl Reader {
    pub fn new() -> Self {
        Self { buf: Vec::new() }
    }

    /// Reads a message with a length, chunks or, for a response, neither; `None` if the connection
    /// ends before the head is complete.
    pub fn read(&mut self, stream: &mut TcpStream, is_response: bool) -> Option<Message> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                break end;
            }
            self.fill(stream)?;
        };
        let head = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut message = Message { head, ..Message::default() };
        if let Some(length) = message.field("content-length") {
            let length: usize = length.parse().ok()?;
            while self.buf.len() < length {
                if self.fill(stream).is_none() {
                    message.body = std::mem::take(&mut self.buf);
                    return Some(message);
                }
            }
            message.body = self.buf.drain(..length).collect();
        } else if message.field("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line(stream) else { return Some(message) };
                let size = usize::from_str_radix(line.trim(), 16).ok()?;
                while self.buf.len() < size + 2 {
                    if self.fill(stream).is_none() {
                        return Some(message);
                    }
                }
                message.body.extend(self.buf.drain(..size));
                self.buf.drain(..2);
                if size == 0 {
                    break;
                }
            }
        } else if is_response && message.status() >= 200 && message.status() != 204 {
            while self.fill(stream).is_some() {}
            message.body = std::mem::take(&mut self.buf);
        }
        message.is_complete = true;
        Some(message)
    }

    fn line(&mut self, stream: &mut TcpStream) -> Option<String> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..end]).into_owned();
                self.buf.drain(..end + 2);
                return Some(line);
            }
            self.fill(stream)?;
        }
    }

    fn fill(&mut self, stream: &mut TcpStream) -> Option<()> {
        let mut chunk = [0; 16 << 10];
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => {
                self.buf.extend_from_slice(&chunk[..count]);
                Some(())
            }
            _ => None,
        }
    }
}

/// Connects, sends a request and reads the response; `None` if none arrives within `timeout`.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let until = Instant::now() + timeout;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1).min(timeout)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1)))).ok()?;
    stream.write_all(request).ok()?;
    Reader::new().read(&mut stream, true)
}
