//! The project's daemons, started by the commands of the deploy file.

use std::collections::HashMap;
use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::{call, quoted};
use crate::record::Record;

/// Grace period of a planned stop, in the settings only.
const GRACE: Duration = Duration::from_secs(6);
/// Time for a daemon to start.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Program and template of the settings in the deploy file.
pub struct Deploy {
    run: Vec<String>,
    template: String,
}

impl Deploy {
    /// Reads the deploy file of the repository.
    pub fn read() -> Result<Self, String> {
        let text = read(Path::new("deploy/system.toml"))?;
        let value = |name: &str| {
            text.lines().find_map(|line| {
                let (key, value) = line.split_once('=')?;
                (key.trim() == name).then(|| value.trim().trim_matches('"').to_string())
            })
        };
        let run = value("run").ok_or("the deploy file has no command")?;
        let template = value("template").ok_or("the deploy file has no template")?;
        let run: Vec<String> = run.split(' ').map(ToString::to_string).collect();
        if !Path::new(&run[0]).exists() {
            return Err(format!("{} has not been built", run[0]));
        }
        Ok(Self { run, template: read(Path::new(&template))? })
    }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|error| format!("read {}: {error}", path.display()))
}

/// Fills in a template from fields whose values are JSON.
fn render(template: &str, fields: &HashMap<String, String>) -> Result<String, String> {
    let mut text = template.to_string();
    while let Some(start) = text.find("{{#") {
        let end = text[start..].find("}}").ok_or("a section does not end")? + start;
        let name = text[start + 3..end].to_string();
        let close = format!("{{{{/{name}}}}}");
        let last = text[end..].find(&close).ok_or(format!("section {name} does not end"))? + end;
        let inner = text[end + 2..last].to_string();
        let kept = if fields.contains_key(&name) { inner } else { String::new() };
        text = text[..start].to_string() + &kept + &text[last + close.len()..];
    }
    while let Some(start) = text.find("{{") {
        let end = text[start..].find("}}").ok_or("a placeholder does not end")? + start;
        let word = text[start + 2..end].to_string();
        let (name, is_json) =
            word.strip_suffix("|json").map_or((word.as_str(), false), |n| (n, true));
        let value = fields.get(name).ok_or(format!("the placeholder {name} is not known"))?;
        let value = if is_json { value.clone() } else { value.trim_matches('"').to_string() };
        text = text[..start].to_string() + &value + &text[end + 2..];
    }
    Ok(text)
}

/// A daemon; clones share its process.
#[derive(Clone)]
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    status: SocketAddr,
    deploy: Arc<Deploy>,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    process: Arc<Mutex<Option<Child>>>,
}

/// Addresses that were given to daemons. Their ports are free again until the daemons listen.
static GIVEN: Mutex<Vec<SocketAddr>> = Mutex::new(Vec::new());

fn free_address() -> SocketAddr {
    let mut given = GIVEN.lock().expect("addresses");
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("find a free port");
        let address = listener.local_addr().expect("address of a free port");
        if !given.contains(&address) {
            given.push(address);
            return address;
        }
    }
}

impl Gateway {
    /// Writes the settings of a daemon and starts it.
    pub fn start(
        name: &str,
        zone: &str,
        store: SocketAddr,
        folder: &Path,
        deploy: &Arc<Deploy>,
        record: &Record,
    ) -> Result<Self, String> {
        let (callers, status, mesh) = (free_address(), free_address(), free_address());
        let mut fields: HashMap<String, String> = HashMap::new();
        // The figures are those of the Verband's sheet in SYSTEM.md.
        let texts = [
            ("node_name", name.to_string()),
            ("zone", zone.to_string()),
            ("listen.front", callers.to_string()),
            ("listen.ready", status.to_string()),
            ("ip", mesh.ip().to_string()),
            ("platform.address", store.to_string()),
        ];
        for (key, text) in texts {
            fields.insert(key.to_string(), quoted(&text));
        }
        let numbers = [
            ("internal_port_range.0", f64::from(mesh.port())),
            ("bounds.retry_budget_ratio", 0.2),
            ("bounds.budget_min_retries", 58.0),
            ("bounds.budget_window_s", 10.0),
            ("bounds.probes_per_s", 60.0),
            ("bounds.grace_s", GRACE.as_secs_f64()),
            ("limits.cpu_share", 0.2),
            ("limits.link_mbps", 1_000.0),
            ("limits.memory_mb", 260.0),
            ("limits.max_fds", 4_100.0),
        ];
        for (key, number) in numbers {
            fields.insert(key.to_string(), number.to_string());
        }
        let contracts = "[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"health\",\
                         \"places\",\"platform\"]";
        fields.insert("contracts".to_string(), contracts.to_string());
        let settings = folder.join(format!("{name}.json"));
        let text = render(&deploy.template, &fields)?;
        std::fs::write(&settings, text).map_err(|error| format!("write the settings: {error}"))?;
        let gateway = Self {
            name: name.to_string(),
            callers,
            status,
            deploy: Arc::clone(deploy),
            settings,
            log: folder.join(format!("{name}.log")),
            record: record.clone(),
            process: Arc::default(),
        };
        gateway.spawn()?;
        Ok(gateway)
    }

    /// Starts the process.
    fn spawn(&self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| format!("open the log: {error}"))?;
        let mut command = Command::new(&self.deploy.run[0]);
        command.args(&self.deploy.run[1..]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            command.envs(std::env::var(name).map(|value| (name, value)));
        }
        let errors = log.try_clone().map_err(|error| format!("open the log: {error}"))?;
        command.env("IBISCROFT_NODE_FILE", &self.settings).stdin(Stdio::null());
        let child = command.stdout(log).stderr(errors).spawn();
        let child = child.map_err(|error| format!("start {}: {error}", self.name))?;
        self.record.add("start", "", &self.name, "");
        *self.process.lock().expect("process") = Some(child);
        Ok(())
    }

    /// Returns whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let text = "GET /readyz HTTP/1.1\r\nHost: status\r\nConnection: close\r\n\r\n";
        let answer = call(&self.status.to_string(), text, Duration::from_millis(500));
        answer.is_ok_and(|answer| answer.status() == 200)
    }

    /// Waits until the daemon is ready.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let until = Instant::now() + START_TIMEOUT;
        while !self.is_ready() {
            if self.has_exited() {
                return Err(format!("{} ended by itself", self.name));
            }
            if Instant::now() > until {
                return Err(format!("{} is not ready", self.name));
            }
            thread::sleep(Duration::from_millis(50));
        }
        self.record.add("ready", "", &self.name, "");
        Ok(())
    }

    /// Returns whether the process has ended by itself.
    pub fn has_exited(&self) -> bool {
        let mut process = self.process.lock().expect("process");
        process.as_mut().is_none_or(|running| !matches!(running.try_wait(), Ok(None)))
    }

    /// Ends the process.
    pub fn kill(&self) {
        if let Some(mut running) = self.process.lock().expect("process").take() {
            let _ = running.kill();
            let _ = running.wait();
        }
    }
}
