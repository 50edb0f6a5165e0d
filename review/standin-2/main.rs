//! Plays a case of the review: `standin CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod gateway;
mod net;
mod record;
mod several;
mod store;
mod target;
mod world;

use std::process::exit;
use std::time::Duration;

use record::Record;
use several::Sizes;
use world::World;

/// Time after which a case is given up.
const TIMEOUT: Duration = Duration::from_secs(117);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path] = args.as_slice() else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let world = match World::new(&record) {
        Ok(world) => world,
        Err(error) => {
            eprintln!("cannot run: {error}");
            exit(2);
        }
    };
    let (watched, watched_record, watched_path) = (world.clone(), record.clone(), path.clone());
    std::thread::spawn(move || {
        std::thread::sleep(TIMEOUT);
        watched.end();
        watched_record.write(&watched_path, &["cannot run: the case took too long".to_string()]);
        exit(2);
    });
    let result = match case.as_str() {
        "several" => {
            let sizes = Sizes { gateways: 6, targets: 12, requests: 4, clients: 8 };
            several::play(&world, &sizes, has_trouble)
        }
        other => Err(format!("no case {other}")),
    };
    world.end();
    let (code, verdict) = match result {
        Ok(verdict) => (i32::from(verdict.is_broken), verdict.lines),
        Err(error) => (2, vec![format!("cannot run: {error}")]),
    };
    for line in &verdict {
        println!("{line}");
    }
    record.write(path, &verdict);
    exit(code);
}
