//! Stand-in of the platform's store.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Reader;

/// Maximum number of entries in a page of a listing.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Writes and removals in the order of their revisions.
    events: Vec<(u64, String, Option<Item>)>,
    /// Time to live and end of each lease.
    leases: BTreeMap<u64, (Duration, Instant)>,
}

/// The store; clones share its state.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind store");
        let address = listener.local_addr().expect("address of store");
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let leases = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(100));
            leases.end_leases();
        });
        (store, address)
    }

    /// Writes an entry.
    pub fn put(&self, key: &str, value: &str) {
        self.put_encoded(key, base64(value.as_bytes()), 0);
    }

    /// Removes an entry.
    pub fn remove(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push((revision, key.to_string(), None));
        }
        self.changed.notify_all();
    }

    fn put_encoded(&self, key: &str, value: String, lease: u64) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let item = Item { value, revision: state.revision, lease };
        state.items.insert(key.to_string(), item.clone());
        let revision = state.revision;
        state.events.push((revision, key.to_string(), Some(item)));
        self.changed.notify_all();
    }

    fn end_leases(&self) {
        let now = Instant::now();
        let keys: Vec<String> = {
            let mut state = self.state.lock().unwrap();
            state.leases.retain(|_, (_, end)| *end > now);
            let State { items, leases, .. } = &*state;
            let is_ended = |item: &Item| item.lease != 0 && !leases.contains_key(&item.lease);
            items.iter().filter(|(_, item)| is_ended(item)).map(|(key, _)| key.clone()).collect()
        };
        for key in keys {
            self.remove(&key);
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new();
        while let Some(request) = reader.read(&mut stream, false) {
            let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
            let body = String::from_utf8_lossy(&request.body).into_owned();
            let (status, answer) = self.answer(path, query, &body);
            let text = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str, query: &str, body: &str) -> (u16, String) {
        if path == "/kv-range" {
            return (200, self.list(&parameter(query, "prefix"), &parameter(query, "after")));
        }
        if path == "/kv-watch" {
            let after = parameter(query, "after").parse().unwrap_or(0);
            let wait = parameter(query, "wait_ms").parse().unwrap_or(0);
            return (200, self.watch(after, Duration::from_millis(wait)));
        }
        if path == "/kv-lease" {
            let ttl: f64 = number(body, "ttl_s_time").unwrap_or(10.0);
            let mut state = self.state.lock().unwrap();
            let lease = 1 + state.leases.keys().next_back().copied().unwrap_or(state.revision);
            let ttl = Duration::from_secs_f64(ttl);
            state.leases.insert(lease, (ttl, Instant::now() + ttl));
            return (200, format!("{{\"lease\":{lease},\"ttl_s_time\":{}}}", ttl.as_secs_f64()));
        }
        if let Some(lease) = path.strip_prefix("/kv-keep/") {
            let lease: u64 = lease.parse().unwrap_or(0);
            let mut state = self.state.lock().unwrap();
            let Some((ttl, end)) = state.leases.get_mut(&lease) else {
                return (404, "{}".to_string());
            };
            *end = Instant::now() + *ttl;
            return (200, format!("{{\"ttl_s_time\":{}}}", ttl.as_secs_f64()));
        }
        if path == "/kv-txn" {
            // The daemon writes one entry a call, without a condition.
            let (Some(key), Some(value)) = (text(body, "key"), text(body, "value")) else {
                return (400, "{}".to_string());
            };
            let lease = number(body, "lease").unwrap_or(0.0) as u64;
            if lease != 0 && !self.state.lock().unwrap().leases.contains_key(&lease) {
                return (404, "{}".to_string());
            }
            self.put_encoded(&key, value, lease);
            return (200, format!("{{\"revision\":{}}}", self.state.lock().unwrap().revision));
        }
        (404, "{}".to_string())
    }

    fn list(&self, prefix: &str, after: &str) -> String {
        let state = self.state.lock().unwrap();
        let all: Vec<_> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .collect();
        let page: Vec<String> =
            all.iter().take(PAGE_ITEMS).map(|(key, item)| item_json(key, item)).collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"current_rev\":{}}}",
            page.join(","),
            all.len() > PAGE_ITEMS,
            state.revision
        )
    }

    fn watch(&self, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        while state.revision <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let events: Vec<String> = state
            .events
            .iter()
            .filter(|(revision, ..)| *revision > after)
            .map(|(revision, key, item)| match item {
                Some(item) => item_json(key, item),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
            })
            .collect();
        format!("{{\"events\":[{}],\"current_rev\":{}}}", events.join(","), state.revision)
    }
}

fn item_json(key: &str, item: &Item) -> String {
    let Item { value, revision, lease } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":{lease}}}"
    )
}

/// Returns a percent-decoded parameter of a query.
fn parameter(query: &str, name: &str) -> String {
    let start = format!("{name}=");
    let raw = query.split('&').find_map(|pair| pair.strip_prefix(&start)).unwrap_or("");
    let bytes = raw.as_bytes();
    let (mut decoded, mut index) = (Vec::new(), 0);
    while index < bytes.len() {
        let hex = raw.get(index + 1..index + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[index], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                index += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                index += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Returns a string member of a JSON document without escapes.
fn text(document: &str, name: &str) -> Option<String> {
    let rest = document.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split_once('"')?.0.to_string())
}

/// Returns a numeric member of a JSON document.
fn number(document: &str, name: &str) -> Option<f64> {
    let rest = document.split_once(&format!("\"{name}\":"))?.1;
    let end = rest.find(|c: char| !c.is_ascii_digit() && c != '.').unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block = chunk.iter().fold(0u32, |sum, byte| sum << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let symbol = ALPHABET[(block >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() { char::from(symbol) } else { '=' });
        }
    }
    text
}
