//! Requests that crash targets come again; nothing else goes wrong.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::record::Line;
use crate::target::POISON;
use crate::world::{CONTACT_S, Random, Verdict, World};

/// Sizes of a case.
pub struct Sizes {
    pub gateways: usize,
    pub targets: usize,
    /// Number of different requests that crash targets.
    pub requests: usize,
    /// Number of clients that send ordinary requests.
    pub clients: u64,
}

/// Time that an ordinary request takes at a target.
const WORK: Duration = Duration::from_millis(60);
/// Time until a crashed target is back.
const DOWN: Duration = Duration::from_secs(3);
/// Shortest pause after which such a request comes again, and the random time added to it.
const PAUSE_MS: u64 = 3_500;
const PAUSE_SPREAD_MS: usize = 1_000;
/// Time for which the requests come.
const LENGTH: Duration = Duration::from_secs(60);
/// Attempts that may reach a target later than `contact_s` after the third crash.
const ALLOWED: usize = 3;

/// An attempt of a client.
struct Attempt {
    id: String,
    sent_at: f64,
    gateway: Gateway,
}

pub fn play(world: &World, sizes: &Sizes, has_trouble: bool) -> Result<Verdict, String> {
    world.configure("unsafe", 2);
    let _targets = world.start_targets(sizes.targets, WORK, DOWN);
    let gateways = world.start_gateways(sizes.gateways)?;
    thread::sleep(Duration::from_secs(4));
    let ordinary: Vec<_> = (1..=sizes.clients)
        .map(|seed| world.send_ordinary(&gateways, 7_919 * seed, Duration::from_millis(120)))
        .collect();
    let clients: Vec<_> = (0..sizes.requests)
        .map(|number| {
            let (world, gateways) = (world.clone(), gateways.clone());
            thread::spawn(move || send_again(&world, &gateways, number, has_trouble))
        })
        .collect();
    thread::sleep(LENGTH);
    world.is_over.store(true, Ordering::Relaxed);
    let mut attempts = Vec::new();
    for client in clients {
        attempts.push(client.join().map_err(|_| "a client failed".to_string())?);
    }
    for client in ordinary {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    if let Some(ended) = gateways.iter().find(|gateway| gateway.has_exited()) {
        return Err(format!("{} ended by itself", ended.name));
    }
    judge(world, &attempts, has_trouble)
}

/// Sends the same request again and again, each time to one of the daemons.
fn send_again(
    world: &World,
    gateways: &[Gateway],
    number: usize,
    has_trouble: bool,
) -> Vec<Attempt> {
    let mut random = Random(u64::from(std::process::id()) + 104_729 * (number as u64 + 1));
    for _ in 0..10 {
        random.below(2);
    }
    thread::sleep(Duration::from_millis(random.below(PAUSE_MS as usize) as u64));
    let name = if has_trouble { POISON } else { "calm" };
    let path = format!("/orders/{name}-{number}");
    let mut attempts = Vec::new();
    while !world.is_over.load(Ordering::Relaxed) {
        let gateway = &gateways[random.below(gateways.len())];
        let sent_at = world.record.now();
        let (id, _) = world.send(gateway, "p-", &path, "the same order");
        attempts.push(Attempt { id, sent_at, gateway: gateway.clone() });
        let spread = random.below(PAUSE_SPREAD_MS) as u64;
        thread::sleep(Duration::from_millis(PAUSE_MS + spread));
    }
    attempts
}

fn judge(world: &World, attempts: &[Vec<Attempt>], has_trouble: bool) -> Result<Verdict, String> {
    let lines = world.record.lines();
    let with =
        |what: &str| -> Vec<&Line> { lines.iter().filter(|line| line.what == what).collect() };
    let (crashes, reaches) = (with("crash"), with("reaches"));
    let lost = with("crashed").len();
    let ordinary = with("sent").iter().filter(|line| line.request.starts_with("o-")).count();
    if (has_trouble && crashes.len() < 2 * attempts.len()) || ordinary < 100 {
        return Err(format!("{} crashes, {ordinary} ordinary requests", crashes.len()));
    }
    let mut most = 0;
    let mut verdict = Vec::new();
    for (number, attempts) in attempts.iter().enumerate() {
        let is_of = |line: &&&Line| attempts.iter().any(|attempt| attempt.id == line.request);
        let own_crashes: Vec<&&Line> = crashes.iter().filter(is_of).collect();
        let third = own_crashes.get(2).map(|line| line.at);
        let has_reached =
            |attempt: &&Attempt| reaches.iter().any(|line| line.request == attempt.id);
        let reached: Vec<&Attempt> = attempts.iter().filter(has_reached).collect();
        let is_late = |at: f64| third.is_some_and(|third| at > third + CONTACT_S);
        let counted = reached.iter().filter(|attempt| is_late(attempt.sent_at)).count();
        most = most.max(counted);
        verdict.push(format!(
            "request {number}: {} attempts, {} reached a target, {} crashes, third at {third:?}; \
             {counted} sent later than {CONTACT_S} s after it reached a target",
            attempts.len(),
            reached.len(),
            own_crashes.len()
        ));
        for Attempt { id, sent_at, gateway } in &reached {
            verdict.push(format!("  {id} at {sent_at:.3} by {}", gateway.name));
        }
    }
    verdict.insert(
        0,
        format!(
            "BUDGET: up to {most} attempts with the same request that crashes targets reached a \
             target, sent later than {CONTACT_S} s after its third crash; {ALLOWED} are allowed"
        ),
    );
    verdict.insert(
        1,
        format!("{lost} of {ordinary} ordinary requests were at work at a target when it crashed"),
    );
    Ok(Verdict { is_broken: most > ALLOWED, lines: verdict })
}
