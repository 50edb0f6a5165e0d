//! Startup and graceful shutdown of the daemon.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use ibiscroft_core::Tick;
use ibiscroft_core::fleet::{Hint, StopSchedule};
use ibiscroft_listener::{ConnectionAcceptor, ConnectionRegistry, Server};
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::caller_bounds;
use crate::dialect::Dialect;
use crate::events::event;
use crate::feed_hub::FeedHub;
use crate::feeder::Feeder;
use crate::filters::account::Account;
use crate::filters::forward::Forward;
use crate::filters::quarantine::Quarantine;
use crate::filters::quota::LimitByQuota;
use crate::filters::stop::RefuseWhenStopping;
use crate::membership::Membership;
use crate::mesh;
use crate::quotas;
use crate::registry::Registry;
use crate::server::CallerEndpoint;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::signals::{SignalAction, Signals};
use crate::status_server::StatusEndpoint;
use crate::target_health;

/// Interval at which open connections are counted after the last response of a graceful shutdown.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Capacity of the queue of hints from the traffic thread to the control thread.
const HINT_QUEUE_CAPACITY: usize = 64;
/// Interval at which unusable idle connections and expired state are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Runs the daemon until a graceful shutdown has completed.
///
/// `settings_file` is read again on SIGHUP.
///
/// # Errors
///
/// Returns an error if an address cannot be bound, a thread or signal handler cannot be set up, or
/// the server for callers fails.
pub fn run<D: Dialect, R: Registry>(
    settings: Settings,
    settings_file: PathBuf,
    registry: R,
) -> eyre::Result<()> {
    let (hint_tx, hints) = mpsc::channel(HINT_QUEUE_CAPACITY);
    let shared = Shared::new(settings, hint_tx).wrap_err("create metrics")?;
    let membership = Membership::new(Arc::clone(&shared), registry.clone());
    start_control(Arc::clone(&shared), registry, membership, hints)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve::<D>(shared, settings_file))
}

/// Starts the control thread, which updates the view, registers this gateway and exchanges updates
/// with other gateways.
fn start_control<R: Registry>(
    shared: Arc<Shared>,
    registry: R,
    membership: Membership<R>,
    mut hints: mpsc::Receiver<Hint>,
) -> eyre::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(bind(shared.settings.mesh_listen))?;
    let hub = FeedHub::new();
    let feeder = Feeder::new(Arc::clone(&shared), registry, hub.clone());
    let forward_hints = {
        let (shared, hub) = (Arc::clone(&shared), hub.clone());
        async move {
            while let Some(hint) = hints.recv().await {
                shared.traffic().on_hint(shared.clock.now(), &hint);
                mesh::forward_hint(&shared, &hub, hint);
            }
        }
    };
    let control = async move {
        let exchange_demand = quotas::exchange(Arc::clone(&shared), hub.clone());
        let exchange_findings = target_health::exchange(Arc::clone(&shared), hub.clone());
        let serve = mesh::serve(shared, listener, hub);
        let exchange = async { tokio::join!(exchange_demand, exchange_findings) };
        tokio::join!(feeder.run(), membership.run(), serve, forward_hints, exchange);
    };
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || runtime.block_on(control))
        .wrap_err("start the control thread")?;
    Ok(())
}

/// Serves callers and the status endpoint until a graceful shutdown has completed.
async fn serve<D: Dialect>(shared: Arc<Shared>, settings_file: PathBuf) -> eyre::Result<()> {
    let settings = &shared.settings;
    let callers = bind(settings.caller_listen).await?;
    let status = TcpAcceptor::from_tokio(bind(settings.status_listen).await?)?;
    let status_server = poem::Server::new_with_acceptor(status);
    tokio::spawn(status_server.run(StatusEndpoint::new(Arc::clone(&shared))));
    tokio::spawn(sweep(Arc::clone(&shared)));
    tokio::spawn(target_health::try_targets::<D>(Arc::clone(&shared)));
    event!(Started, "instance={} callers={}", settings.instance, settings.caller_listen);

    let connections = Arc::new(ConnectionRegistry::default());
    tokio::spawn(caller_bounds::enforce(Arc::clone(&shared), Arc::clone(&connections)));
    let acceptor = ConnectionAcceptor::new(callers, Arc::clone(&connections))?;
    let forward = Forward::<D>::new(Arc::clone(&shared));
    let quarantine = Quarantine::new(Arc::clone(&shared), forward);
    let refuse = RefuseWhenStopping::new(Arc::clone(&shared), quarantine);
    let limit = LimitByQuota::new(Arc::clone(&shared), refuse);
    let chain = Account::new(Arc::clone(&shared), limit);
    let endpoint =
        CallerEndpoint::<D, _>::new(Arc::clone(&shared), chain, Arc::clone(&connections));
    // Offsets from the stop signal.
    let offsets = StopSchedule::new(Tick::ZERO, settings.stop_grace());
    let drain_timeout = offsets.closes_at().since(offsets.listens_until());
    let stop = wait_for_stop(Arc::clone(&shared), settings_file, Signals::new()?);
    Server::new(acceptor).run_until(endpoint, stop, Some(drain_timeout)).await;
    wait_for_callers_to_close(&connections, offsets.caller_close_timeout()).await;
    event!(Stopped, "in_flight={}", shared.metrics.in_flight.get());
    Ok(())
}

/// Waits until callers have closed the connections on which the last responses were sent, at most
/// for `timeout`.
async fn wait_for_callers_to_close(connections: &ConnectionRegistry, timeout: Duration) {
    let until = tokio::time::Instant::now() + timeout;
    while connections.open_count() > 0 && tokio::time::Instant::now() < until {
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
}

/// Handles signals until a stop is requested, then waits until the listener may be closed.
async fn wait_for_stop(shared: Arc<Shared>, settings_file: PathBuf, mut signals: Signals) {
    while signals.next().await == SignalAction::Reload {
        reload(&shared, &settings_file);
    }
    let now = shared.clock.now();
    let schedule = StopSchedule::new(now, shared.settings.stop_grace());
    shared.begin_stop(schedule);
    event!(
        StopRequested,
        "in_flight={} listens_ms={} waits_ms={}",
        shared.metrics.in_flight.get(),
        schedule.listens_until().since(now).as_millis(),
        schedule.waits_until().since(now).as_millis(),
    );
    tokio::time::sleep_until(shared.clock.instant(schedule.listens_until())).await;
}

/// Reads and checks the settings file again and logs the result.
///
/// Changed values take effect at the next start.
fn reload(shared: &Shared, settings_file: &std::path::Path) {
    match Settings::read(settings_file) {
        Ok(settings) if settings == shared.settings => event!(SettingsReloaded, "changed=false"),
        Ok(_) => event!(SettingsReloaded, "changed=true in_force=next_start"),
        Err(error) => event!(SettingsRefused, "reason={:?}", format!("{error:#}")),
    }
}

/// Periodically closes unusable idle connections and drops expired state and the state of targets
/// that are no longer in the view.
async fn sweep(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(SWEEP_INTERVAL);
    loop {
        timer.tick().await;
        let view = shared.view.load_full();
        shared.pool.sweep(|name| view.target(name).is_some());
        let mut traffic = shared.traffic();
        traffic.cold_limiter.expire(shared.clock.now());
        traffic.suspects.expire(shared.clock.now());
        traffic.resting.expire(shared.clock.now());
        traffic.leaving.expire(shared.clock.now(), |name| view.target(name).is_some());
        traffic.retain_targets(|name| view.target(name).is_some());
    }
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listen on {address}"))
}
