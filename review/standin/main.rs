//! Stand-ins of the platform's store, of backend servers and of callers, and the cases that start
//! the daemon between them. Arguments: the case, its folder, and a temporary folder.

mod copies;
mod crashing;
mod http;
mod stop;
mod store;
mod target;
mod uploads;
mod world;

use world::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, temporary] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER TEMPORARY_FOLDER");
        std::process::exit(world::COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&format!("{folder}/record.txt"));
    let is_broken = match case.as_str() {
        "copies" => copies::run(&record, temporary, has_trouble),
        "crashing" => crashing::run(&record, temporary, has_trouble),
        "stop" => stop::run(&record, temporary, has_trouble),
        "uploads" => uploads::run(&record, temporary, has_trouble),
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(world::COULD_NOT_RUN);
        }
    };
    std::process::exit(i32::from(is_broken));
}
