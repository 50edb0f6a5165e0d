//! The platform's store, as PROTOCOL.md describes it.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{Json, Message, base64, quoted, read_message, respond};

/// Entries in a page of a listing.
const PAGE_ITEMS: usize = 500;
/// Usual time to answer a call.
const CALL_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key and JSON text of each change.
    events: Vec<(u64, String, String)>,
    /// Time to live and end of each lease.
    leases: HashMap<u64, (f64, Instant)>,
    last_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_string(), revision, created, lease };
        self.events.push((revision, key.to_string(), item_json(key, &item)));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let text =
            format!("{{\"key\":{},\"revision\":{revision},\"tombstone\":true}}", quoted(key));
        self.events.push((revision, key.to_string(), text));
    }

    /// Ends leases whose time is over, with their keys.
    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        quoted(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

/// Handle to the store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen for the store");
        let address = listener.local_addr().expect("address of the store");
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let sweeper = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                sweeper.lock().expire();
                sweeper.shared.1.notify_all();
            }
        });
        (store, address)
    }

    /// Removes an item.
    pub fn delete(&self, key: &str) {
        self.lock().remove(key);
    }

    /// Writes an entry as the operator or a target does.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, &base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("lock the store")
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buf = Vec::new();
        while let Ok(Some(req)) = read_message(&mut stream, &mut buf) {
            thread::sleep(CALL_TIME);
            let (status, body) = self.answer(&req);
            let fields = "Content-Type: application/json\r\n";
            if respond(&mut stream, status, fields, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Message) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        match (req.method(), req.path()) {
            ("GET", "/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                let state = self.lock();
                match state.items.get(&key) {
                    Some(item) => {
                        let item = item_json(&key, item);
                        let rest = format!(",\"current_rev\":{}}}", state.revision);
                        ("200 OK", item[..item.len() - 1].to_string() + &rest)
                    }
                    None => ("404 Not Found", format!("{{\"current_rev\":{}}}", state.revision)),
                }
            }
            ("GET", "/kv-range") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let after = req.query("after").unwrap_or_default();
                let state = self.lock();
                let mut rest =
                    state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let page: Vec<String> = rest
                    .by_ref()
                    .take(PAGE_ITEMS)
                    .map(|(key, item)| item_json(key, item))
                    .collect();
                let has_more = rest.next().is_some();
                let items = page.join(",");
                let revision = state.revision;
                let body = format!(
                    "{{\"items\":[{items}],\"has_more\":{has_more},\"current_rev\":{revision}}}"
                );
                ("200 OK", body)
            }
            ("GET", "/kv-watch") => {
                let prefix = req.query("prefix").unwrap_or_default();
                let number = |name| req.query(name).and_then(|text| text.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(30_000));
                ("200 OK", self.watch(&prefix, after, wait))
            }
            ("POST", "/kv-txn") => self.transact(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttl_s_time").map_or(1.0, Json::number).clamp(1.0, 600.0);
                let mut state = self.lock();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + Duration::from_secs_f64(ttl)));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
            }
            (method, path) => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse::<u64>().ok());
                let mut state = self.lock();
                let Some((lease, entry)) =
                    lease.and_then(|id| Some((id, state.leases.get_mut(&id)?)))
                else {
                    return ("404 Not Found", "{}".to_string());
                };
                if method == "DELETE" {
                    entry.1 = Instant::now();
                    state.expire();
                    return ("200 OK", "{}".to_string());
                }
                let ttl = entry.0;
                entry.1 = Instant::now() + Duration::from_secs_f64(ttl);
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_s_time\":{ttl}}}"))
            }
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let events: Vec<&str> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, text)| text.as_str())
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return format!("{{\"events\":[{events}],\"current_rev\":{revision}}}");
            }
            state = self.shared.1.wait_timeout(state, left).expect("wait for a change").0;
        }
    }

    fn transact(&self, body: &Json) -> (&'static str, String) {
        let list = |name| body.get(name).map_or(&[][..], Json::list);
        let mut state = self.lock();
        let key_of = |entry: &Json| entry.get("key").map_or("", Json::text).to_string();
        let differs = |entry: &&Json| {
            let expected = entry.get("revision").map_or(0.0, Json::number) as u64;
            state.items.get(&key_of(entry)).map_or(0, |item| item.revision) != expected
        };
        if list("expected").iter().any(|entry| differs(&entry)) {
            return ("412 Precondition Failed", "{\"items\":[]}".to_string());
        }
        let lease_of = |entry: &Json| entry.get("lease").map_or(0.0, Json::number) as u64;
        let is_unknown = |lease: u64| lease != 0 && !state.leases.contains_key(&lease);
        if list("puts").iter().any(|entry| is_unknown(lease_of(entry))) {
            return ("404 Not Found", "{}".to_string());
        }
        let is_reserved = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        let mut keys = list("puts")
            .iter()
            .map(key_of)
            .chain(list("delete").iter().map(|key| key.text().to_string()));
        if keys.any(|key| is_reserved(&key)) {
            return ("403 Forbidden", "{}".to_string());
        }
        for entry in list("puts") {
            let value = entry.get("value").map_or("", Json::text);
            state.put(&key_of(entry), value, lease_of(entry));
        }
        for key in list("delete") {
            state.remove(key.text());
        }
        let revision = state.revision;
        drop(state);
        self.shared.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}
