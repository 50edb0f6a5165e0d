//! A request that crashes targets comes again while the daemons are stopped and started in turn.

use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::gateway::Gateway;
use crate::record::Line;
use crate::target::POISON;
use crate::world::{CONTACT_S, Random, Verdict, World};

const GATEWAYS: usize = 10;
const TARGETS: usize = 9;
/// Time that an ordinary request takes at a target.
const WORK: Duration = Duration::from_millis(60);
/// Time until a crashed target is back.
const DOWN: Duration = Duration::from_secs(3);
/// Pause after which the request that crashes targets comes again.
const POISON_PAUSE: Duration = Duration::from_millis(1_000);
/// Time before the first stop.
const CALM_START: Duration = Duration::from_secs(6);
/// Pause between the start of a daemon, once it is ready, and the stop of the next one.
const PAUSE: Duration = Duration::from_millis(5_500);
/// Time that the roll takes, which a run without it waits instead.
const ROLL_TIME: Duration = Duration::from_secs(70);
/// Time after the roll.
const CALM_END: Duration = Duration::from_secs(9);
/// Attempts that may reach a target later than `contact_s` after the third crash.
const ALLOWED: usize = 3;

/// An attempt of the client with the request that crashes targets.
struct Attempt {
    id: String,
    sent_at: f64,
    gateway: Gateway,
    /// Whether the daemon was in touch when the attempt was sent and when it was answered.
    is_in_touch: bool,
}

pub fn play(world: &World, has_trouble: bool) -> Result<Verdict, String> {
    world.configure("unsafe", 2);
    let _targets = world.start_targets(TARGETS, WORK, DOWN);
    let gateways = world.start_gateways(GATEWAYS)?;
    thread::sleep(Duration::from_secs(4));
    let mut clients: Vec<_> = (1..=8)
        .map(|seed| world.send_ordinary(&gateways, 7_919 * seed, Duration::from_millis(120)))
        .collect();
    let poison = {
        let (world, gateways) = (world.clone(), gateways.clone());
        thread::spawn(move || send_poison(&world, &gateways))
    };
    thread::sleep(CALM_START);
    if has_trouble {
        for gateway in &gateways {
            gateway.stop_and_start()?;
            gateway.wait_until_ready()?;
            thread::sleep(PAUSE);
        }
    } else {
        thread::sleep(ROLL_TIME);
    }
    thread::sleep(CALM_END);
    world.is_over.store(true, Ordering::Relaxed);
    let attempts = poison.join().map_err(|_| "the client failed".to_string())?;
    for client in clients.drain(..) {
        client.join().map_err(|_| "a client failed".to_string())?;
    }
    if let Some(ended) = gateways.iter().find(|gateway| gateway.has_exited()) {
        return Err(format!("{} ended by itself", ended.name));
    }
    judge(world, &attempts)
}

/// Sends the request again and again, each time to one of the daemons that are ready.
fn send_poison(world: &World, gateways: &[Gateway]) -> Vec<Attempt> {
    let mut random = Random(std::process::id().into());
    let mut attempts = Vec::new();
    for _ in 0..10 {
        random.below(2);
    }
    while !world.is_over.load(Ordering::Relaxed) {
        let ready: Vec<&Gateway> = gateways.iter().filter(|gateway| gateway.is_ready()).collect();
        if let Some(gateway) = ready.get(random.below(ready.len().max(1))) {
            let sent_at = world.record.now();
            let was_in_touch = gateway.has_run_for(sent_at, CONTACT_S);
            let path = format!("/orders/{POISON}");
            let (id, _) = world.send(gateway, "p-", &path, "the same order");
            let is_in_touch = was_in_touch && gateway.has_run_for(world.record.now(), CONTACT_S);
            let gateway = (*gateway).clone();
            attempts.push(Attempt { id, sent_at, gateway, is_in_touch });
        }
        thread::sleep(POISON_PAUSE);
    }
    attempts
}

fn judge(world: &World, attempts: &[Attempt]) -> Result<Verdict, String> {
    let lines = world.record.lines();
    let crashes: Vec<&Line> = lines.iter().filter(|line| line.what == "crash").collect();
    let has_reached =
        |id: &str| lines.iter().any(|line| line.what == "reaches" && line.request == id);
    let reached: Vec<&Attempt> = attempts.iter().filter(|attempt| has_reached(&attempt.id)).collect();
    let third = crashes.get(2).map(|line| line.at);
    let late: Vec<&&Attempt> = reached
        .iter()
        .filter(|attempt| third.is_some_and(|at| attempt.sent_at > at + CONTACT_S))
        .collect();
    let counted = late.iter().filter(|attempt| attempt.is_in_touch).count();
    let lost = lines.iter().filter(|line| line.what == "crashed").count();
    let ordinary = lines.iter().filter(|line| line.what == "sent" && line.request.starts_with("o-"));
    let ordinary = ordinary.count();
    if crashes.len() < 2 || ordinary < 100 {
        return Err(format!("{} crashes, {ordinary} ordinary requests", crashes.len()));
    }
    let mut verdict = vec![
        format!(
            "BUDGET: {counted} attempts with the request that crashes targets reached a target, sent \
             by machines in touch later than {CONTACT_S} s after the third crash; {ALLOWED} are allowed"
        ),
        format!(
            "{} attempts with it, {} reached a target, {} crashes, third crash at {third:?}",
            attempts.len(),
            reached.len(),
            crashes.len()
        ),
        format!("{lost} of {ordinary} ordinary requests were at work at a target when it crashed"),
    ];
    for Attempt { id, sent_at, gateway, is_in_touch } in &reached {
        let name = &gateway.name;
        verdict.push(format!("  {id} at {sent_at:.3} by {name}, in touch: {is_in_touch}"));
    }
    Ok(Verdict { is_broken: counted > ALLOWED, lines: verdict })
}
