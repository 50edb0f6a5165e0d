//! Starts the threads and tasks of a gateway and shuts them down gracefully.

use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use eyre::WrapErr;
use ibiscroft_core::claims::ClaimLimits;
use ibiscroft_core::ids::RunId;
use ibiscroft_platform::StoreClient;
use poem::Server;
use poem::listener::TcpAcceptor;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::LocalSet;

use crate::body_budget::BodyBudget;
use crate::caller_limits::CallerLimits;
use crate::claims::{ClaimsController, ClaimsHandle, Retirer};
use crate::clock::Clock;
use crate::control::{Control, ControlCommand, ControlEvent, ControlInputs};
use crate::events::event;
use crate::instance_watch;
use crate::metrics::Metrics;
use crate::operator_server::OperatorEndpoint;
use crate::peer_link;
use crate::permits::PermitSender;
use crate::settings::Settings;
use crate::shared::Shared;
use crate::shortage::Shortage;
use crate::snapshot::Snapshot;
use crate::stop_signals::StopSignals;
use crate::store_watch;
use crate::traffic::{TrafficContext, TrafficThreads};
use crate::validity::Validity;

/// Timeout of one call to the key-value service, except for calls of the claims controller.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of one call of the claims controller, which reads or writes a claim page.
const CLAIM_STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait in a graceful shutdown for at-most-once requests whose callers have disconnected,
/// and for outcomes that are not recorded yet.
const CLAIM_FLUSH_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of gateways assumed to share the store until the roster is known.
const DEFAULT_GATEWAYS: u32 = 18;
/// Capacity of the queue of observations for the control thread.
const OBSERVATION_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the queue of permit requests and reports for the control thread.
const PERMIT_QUEUE_CAPACITY: usize = 4_096;
/// Capacity of the queue of commands for the control thread.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// Runs a gateway until SIGTERM or SIGINT has shut it down gracefully.
///
/// # Errors
///
/// Returns an error if the gateway cannot start or a traffic thread fails.
pub fn run(settings: Settings) -> eyre::Result<()> {
    let control = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("failed to create the runtime of the control thread")?;
    LocalSet::new().block_on(&control, run_control(settings))
}

/// Starts the gateway, waits for a stop signal and shuts the gateway down.
async fn run_control(settings: Settings) -> eyre::Result<()> {
    let mut signals = StopSignals::new()?;
    let daemon = Daemon::start(settings).await?;
    announce(&daemon.settings);
    signals.wait().await;
    event!(StopRequested, "reporting not ready; responses close their connections");
    tokio::task::spawn_local(signals.ignore_further());
    daemon.stop().await
}

/// Listening sockets of a gateway.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
}

impl Listeners {
    /// Binds all listen addresses of the settings and puts the ports that the system chose into
    /// the settings.
    async fn bind(settings: &mut Settings) -> eyre::Result<Self> {
        Ok(Self {
            callers: bind(&mut settings.caller_listen).await?,
            operators: bind(&mut settings.operator_listen).await?,
            peers: bind(&mut settings.peer_listen).await?,
        })
    }
}

/// A running gateway.
struct Daemon {
    settings: Rc<Settings>,
    shared: Arc<Shared>,
    claims: ClaimsHandle,
    commands: mpsc::Sender<ControlCommand>,
    traffic: TrafficThreads,
    closing: Arc<AtomicBool>,
}

impl Daemon {
    /// Binds the listeners, then starts the control tasks and the traffic threads.
    async fn start(mut settings: Settings) -> eyre::Result<Self> {
        let listeners = Listeners::bind(&mut settings).await?;
        let settings = Rc::new(settings);
        let store = StoreClient::new(settings.store.clone(), STORE_TIMEOUT)?;
        let (observation_tx, observations) = mpsc::channel(OBSERVATION_QUEUE_CAPACITY);
        let (permit_tx, permits) = mpsc::channel(PERMIT_QUEUE_CAPACITY);
        let (command_tx, commands) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
        let (event_tx, events) = mpsc::unbounded_channel();
        let clock = Clock::start();
        let limits = CallerLimits::new(&settings);
        let shared = Arc::new(Shared {
            instance: settings.instance.clone(),
            run: RunId::new(format!("{:08x}", rand::random::<u32>())),
            clock,
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            validity: Validity::default(),
            metrics: Metrics::new()?,
            observations: observation_tx,
            permits: PermitSender::new(permit_tx),
            limits,
            bodies: BodyBudget::new(clock, limits.body_bytes),
            large_responses: Arc::new(Semaphore::new(limits.large_responses)),
            memory_shortage: Shortage::default(),
            connection_shortage: Shortage::default(),
            slot_shortage: Shortage::default(),
        });
        let closing = Arc::new(AtomicBool::new(false));
        let claim_limits = ClaimLimits::for_fleet(DEFAULT_GATEWAYS);
        let claims = start_claims(&settings, &shared, &store, claim_limits)?;
        let control = Control::new(
            Arc::clone(&shared),
            Rc::clone(&settings),
            store.clone(),
            claims.clone(),
            event_tx.clone(),
        );
        let inputs = ControlInputs { events, observations, permits, commands };
        tokio::task::spawn_local(control.run(inputs));
        start_watches(&settings, &shared, store, &event_tx)?;
        tokio::task::spawn_local(peer_link::listen(listeners.peers, Arc::clone(&shared), event_tx));
        let operators =
            OperatorEndpoint::new(Arc::clone(&shared), command_tx.clone(), Arc::clone(&closing));
        let acceptor = TcpAcceptor::from_tokio(listeners.operators)?;
        tokio::spawn(Server::new_with_acceptor(acceptor).run(operators));
        let traffic_context = TrafficContext {
            shared: Arc::clone(&shared),
            claims: claims.clone(),
            claim_limits,
            closing: Arc::clone(&closing),
            drain_limit: settings.drain_limit,
        };
        let traffic =
            TrafficThreads::start(listeners.callers, settings.traffic_threads, &traffic_context)?;
        Ok(Self { settings, shared, claims, commands: command_tx, traffic, closing })
    }

    /// Shuts down gracefully: reports not ready for the drain notice, leaves the roster, drains the
    /// traffic threads and waits until the outcomes of at-most-once requests are recorded.
    async fn stop(mut self) -> eyre::Result<()> {
        self.closing.store(true, Ordering::Relaxed);
        tokio::time::sleep(self.settings.drain_notice).await;
        let (done_tx, done_rx) = oneshot::channel();
        if self.commands.send(ControlCommand::Leave(done_tx)).await.is_ok() {
            let _ = done_rx.await;
        }
        self.traffic.drain().await?;
        if tokio::time::timeout(CLAIM_FLUSH_TIMEOUT, self.claims.flush()).await.is_err() {
            event!(ClaimsUnflushed, "{}", self.claims.dump().await);
        }
        let in_flight = self.shared.metrics.in_flight.get();
        if in_flight > 0 {
            event!(StopLimitReached, "{in_flight} requests still in flight");
        }
        event!(Stopped, "graceful shutdown complete");
        Ok(())
    }
}

/// Starts the claims controller and the task that deletes old claim pages.
fn start_claims(
    settings: &Settings,
    shared: &Shared,
    store: &StoreClient,
    limits: ClaimLimits,
) -> eyre::Result<ClaimsHandle> {
    let claim_store = StoreClient::new(settings.store.clone(), CLAIM_STORE_TIMEOUT)?;
    let metrics = shared.metrics.claims.clone();
    let (controller, claims) = ClaimsController::new(limits, claim_store, shared.clock, metrics);
    tokio::task::spawn_local(controller.run());
    tokio::task::spawn_local(Retirer::new(store.clone(), limits).run(shared.clock));
    Ok(claims)
}

/// Starts the watch of the store and, if its address is set, the reads of the instance list.
fn start_watches(
    settings: &Settings,
    shared: &Arc<Shared>,
    store: StoreClient,
    events: &mpsc::UnboundedSender<ControlEvent>,
) -> eyre::Result<()> {
    if let Some(address) = settings.instance_list {
        let list = StoreClient::new(vec![address], STORE_TIMEOUT)?;
        tokio::task::spawn_local(instance_watch::watch(list, events.clone()));
    }
    tokio::task::spawn_local(store_watch::watch(store, Arc::clone(shared), events.clone()));
    Ok(())
}

/// Binds a socket to `address` and puts the port that the system chose into `address`.
async fn bind(address: &mut std::net::SocketAddr) -> eyre::Result<TcpListener> {
    let listener = TcpListener::bind(*address)
        .await
        .wrap_err_with(|| format!("failed to listen on {address}"))?;
    *address = listener.local_addr()?;
    Ok(listener)
}

/// Prints the instance name and the bound addresses to standard output as one line of JSON, and
/// logs the start.
///
/// The parent process reads from it the ports that the system chose.
fn announce(settings: &Settings) {
    println!(
        "{}",
        serde_json::json!({
            "instance": settings.instance,
            "callers": settings.caller_listen,
            "operators": settings.operator_listen,
            "peers": settings.peer_listen,
        })
    );
    event!(Started, "callers on {}", settings.caller_listen);
}
