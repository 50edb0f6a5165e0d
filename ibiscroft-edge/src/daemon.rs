//! Starts a daemon and stops it gracefully.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use eyre::WrapErr;
use ibiscroft_core::fleet::Hint;
use ibiscroft_listener::{ConnectionAcceptor, Connections};
use poem::Server;
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::dialect::Dialect;
use crate::events::event;
use crate::feed_hub::FeedHub;
use crate::feeder::Feeder;
use crate::filters::account::Account;
use crate::filters::forward::Forward;
use crate::filters::quarantine::Quarantine;
use crate::membership::Membership;
use crate::mesh;
use crate::registry::Registry;
use crate::server::CallerEndpoint;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::status_server::StatusEndpoint;
use crate::stop::{Asked, Signals};

/// Part of the stop's grace in which new connections are still taken, until the platform's
/// balancer has noticed that the daemon is not ready.
const NOTICE_PART: f64 = 0.45;
/// Part of the stop's grace after the notice in which requests in flight may end.
const DRAIN_PART: f64 = 0.45;
/// Hints that may wait for the control thread.
const HINT_QUEUE: usize = 64;
/// Interval in which idle connections to targets are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Runs a daemon until a planned stop ends.
///
/// # Errors
///
/// Returns why the daemon could not start or serve.
pub fn run<D: Dialect, R: Registry>(
    settings: Settings,
    settings_file: PathBuf,
    registry: R,
) -> eyre::Result<()> {
    let (hint_tx, hints) = mpsc::channel(HINT_QUEUE);
    let shared = Shared::new(settings, hint_tx).wrap_err("metrics")?;
    let membership = Membership::new(Arc::clone(&shared), registry.clone());
    start_control(Arc::clone(&shared), registry, membership, hints)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(serve::<D>(shared, settings_file))
}

/// Starts the thread that owns what the daemon believes.
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
    let spread = {
        let (shared, hub) = (Arc::clone(&shared), hub.clone());
        async move {
            while let Some(hint) = hints.recv().await {
                mesh::take_hint(&shared, &hub, hint);
            }
        }
    };
    let control = async move {
        let serve = mesh::serve(shared, listener, hub);
        tokio::join!(feeder.run(), membership.keep(), serve, spread);
    };
    std::thread::Builder::new()
        .name("control".to_string())
        .spawn(move || runtime.block_on(control))
        .wrap_err("thread for control")?;
    Ok(())
}

async fn serve<D: Dialect>(shared: Arc<Shared>, settings_file: PathBuf) -> eyre::Result<()> {
    let settings = &shared.settings;
    let callers = bind(settings.caller_listen).await?;
    let status = TcpAcceptor::from_tokio(bind(settings.status_listen).await?)?;
    tokio::spawn(Server::new_with_acceptor(status).run(StatusEndpoint::new(Arc::clone(&shared))));
    tokio::spawn(sweep(Arc::clone(&shared)));
    event!(Started, "instance={} callers={}", settings.instance, settings.caller_listen);

    let connections = Arc::new(Connections::default());
    let acceptor = ConnectionAcceptor::new(callers, Arc::clone(&connections))?;
    let forward = Forward::<D>::new(Arc::clone(&shared));
    let quarantine = Quarantine::new(Arc::clone(&shared), forward);
    let chain = Account::new(Arc::clone(&shared), quarantine);
    let endpoint = CallerEndpoint::<D, _>::new(Arc::clone(&shared), chain, connections);
    let grace = Duration::from_secs_f64(settings.stop_grace_s);
    let stop = stopped(Arc::clone(&shared), settings_file, Signals::new()?);
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(endpoint, stop, Some(grace.mul_f64(DRAIN_PART)))
        .await
        .wrap_err("server for callers")?;
    event!(Stopped, "in_flight={}", shared.metrics.in_flight.get());
    Ok(())
}

/// Waits until a planned stop may end the acceptance of connections.
async fn stopped(shared: Arc<Shared>, settings_file: PathBuf, mut signals: Signals) {
    while signals.next().await == Asked::Reload {
        reload(&shared, &settings_file);
    }
    shared.is_closing.store(true, Ordering::Relaxed);
    event!(StopRequested, "in_flight={}", shared.metrics.in_flight.get());
    let grace = Duration::from_secs_f64(shared.settings.stop_grace_s);
    tokio::time::sleep(grace.mul_f64(NOTICE_PART)).await;
}

/// Reads the settings again; a faulty file changes nothing.
fn reload(shared: &Shared, settings_file: &std::path::Path) {
    match Settings::read(settings_file) {
        Ok(found) if found == shared.settings => event!(SettingsReloaded, "changed=false"),
        Ok(_) => event!(SettingsReloaded, "changed=true in_force=next_start"),
        Err(error) => event!(SettingsRefused, "reason={:?}", format!("{error:#}")),
    }
}

/// Closes connections to targets that are no longer usable.
async fn sweep(shared: Arc<Shared>) {
    let mut timer = tokio::time::interval(SWEEP);
    loop {
        timer.tick().await;
        let view = shared.view.load_full();
        shared.pool.sweep(|name| view.target(name).is_some());
        let mut local = shared.local();
        local.cold.expire(shared.clock.now());
        local.suspects.expire(shared.clock.now());
        local.retain(|name| view.target(name).is_some());
    }
}

async fn bind(address: std::net::SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| format!("listen on {address}"))
}
