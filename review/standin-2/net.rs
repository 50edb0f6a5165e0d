//! HTTP/1.1 on blocking sockets, JSON and base64.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// Head and body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns the decoded value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let value = query.split('&').find_map(|pair| {
            pair.split_once('=').filter(|(key, _)| *key == name).map(|(_, value)| value)
        })?;
        let mut bytes = Vec::new();
        let mut rest = value.bytes();
        while let Some(byte) = rest.next() {
            match byte {
                b'%' => {
                    let hex: String = rest.by_ref().take(2).map(char::from).collect();
                    bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
                }
                b'+' => bytes.push(b' '),
                other => bytes.push(other),
            }
        }
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }
}

/// Reads a message with a length or in chunks; `None` if the connection ends before its first byte.
pub fn read_message(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if !fill(stream, buf)? {
            if buf.is_empty() {
                return Ok(None);
            }
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the head is incomplete"));
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let mut message =
        Message { start: lines.next().unwrap_or("").to_string(), ..Message::default() };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            message.fields.push((name.to_ascii_lowercase(), value.trim().to_string()));
        }
    }
    let is_chunked =
        message.field("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    if is_chunked {
        loop {
            let line = read_line(stream, buf)?;
            let size = line.split(';').next().unwrap_or("").trim().to_string();
            let size = usize::from_str_radix(&size, 16)
                .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
            let chunk = read_bytes(stream, buf, size)?;
            message.body.extend(chunk);
            read_line(stream, buf)?;
            if size == 0 {
                return Ok(Some(message));
            }
        }
    }
    let length = message.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    message.body = read_bytes(stream, buf, length)?;
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut chunk = [0; 16 << 10];
    let count = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..count]);
    Ok(count > 0)
}

fn read_bytes(stream: &mut TcpStream, buf: &mut Vec<u8>, count: usize) -> io::Result<Vec<u8>> {
    while buf.len() < count {
        if !fill(stream, buf)? {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "the body is incomplete"));
        }
    }
    Ok(buf.drain(..count).collect())
}

fn read_line(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = buf.windows(2).position(|bytes| bytes == b"\r\n") {
            let line = String::from_utf8_lossy(&buf[..at]).into_owned();
            buf.drain(..at + 2);
            return Ok(line);
        }
        if !fill(stream, buf)? {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "a line is incomplete"));
        }
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: &str, text: &str, timeout: Duration) -> io::Result<Message> {
    let address: std::net::SocketAddr =
        address.parse().map_err(|_| io::Error::new(io::ErrorKind::InvalidInput, "address"))?;
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(text.as_bytes())?;
    read_message(&mut stream, &mut Vec::new())?
        .ok_or_else(|| io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"))
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let digit = (number >> (18 - 6 * place)) & 63;
            let is_padding = place > group.len();
            text.push(if is_padding { '=' } else { char::from(BASE64[digit as usize]) });
        }
    }
    text
}

/// JSON value; numbers are kept as they were written.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let chars: Vec<char> = text.chars().collect();
        let mut at = 0;
        let value = parse_value(&chars, &mut at)?;
        skip_space(&chars, &mut at);
        (at == chars.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) | Self::Number(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        self.text().parse().unwrap_or(0.0)
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

/// Returns a JSON string.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if c < ' ' => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

fn skip_space(chars: &[char], at: &mut usize) {
    while chars.get(*at).is_some_and(|c| c.is_whitespace()) {
        *at += 1;
    }
}

fn parse_value(chars: &[char], at: &mut usize) -> Option<Json> {
    skip_space(chars, at);
    match chars.get(*at)? {
        '{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    '}' => {
                        *at += 1;
                        return Some(Json::Table(table));
                    }
                    ',' => *at += 1,
                    _ => {
                        let key = parse_text(chars, at)?;
                        skip_space(chars, at);
                        if *chars.get(*at)? != ':' {
                            return None;
                        }
                        *at += 1;
                        table.insert(key, parse_value(chars, at)?);
                    }
                }
            }
        }
        '[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_space(chars, at);
                match chars.get(*at)? {
                    ']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    ',' => *at += 1,
                    _ => list.push(parse_value(chars, at)?),
                }
            }
        }
        '"' => parse_text(chars, at).map(Json::Text),
        _ => {
            let start = *at;
            while chars.get(*at).is_some_and(|c| !",]} \r\n\t".contains(*c)) {
                *at += 1;
            }
            let word: String = chars[start..*at].iter().collect();
            match word.as_str() {
                "null" => Some(Json::Null),
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                _ => word.parse::<f64>().ok().map(|_| Json::Number(word)),
            }
        }
    }
}

fn parse_text(chars: &[char], at: &mut usize) -> Option<String> {
    if *chars.get(*at)? != '"' {
        return None;
    }
    *at += 1;
    let mut text = String::new();
    loop {
        let c = *chars.get(*at)?;
        *at += 1;
        match c {
            '"' => return Some(text),
            '\\' => {
                let escaped = *chars.get(*at)?;
                *at += 1;
                match escaped {
                    'n' => text.push('\n'),
                    't' => text.push('\t'),
                    'r' => text.push('\r'),
                    'u' => {
                        let hex: String = chars.get(*at..*at + 4)?.iter().collect();
                        *at += 4;
                        text.push(char::from_u32(u32::from_str_radix(&hex, 16).ok()?)?);
                    }
                    other => text.push(other),
                }
            }
            c => text.push(c),
        }
    }
}
