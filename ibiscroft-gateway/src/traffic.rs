//! Traffic threads, which serve callers, each on an async runtime of its own.
//!
//! A request is thus served on one thread from its first byte to its last. All threads accept from
//! the same socket, so a new connection goes to a thread that is not busy.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use ibiscroft_core::claims::ClaimLimits;
use ibiscroft_listener::{ConnectionAcceptor, ConnectionRegistry, Server};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::backend_client::BackendClient;
use crate::caller_bounds;
use crate::claims::ClaimsHandle;
use crate::filters::account::Account;
use crate::filters::admit::Admit;
use crate::filters::claim::Claim;
use crate::filters::forward::Forward;
use crate::filters::{Chain, Handler};
use crate::server::CallerEndpoint;
use crate::shared::Shared;

/// Longest time without a byte on a caller's connection; requests in flight are not interrupted.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum size of a request head, in bytes; twice that of the header fields, so that requests with
/// more of them still get the error response of the gateway.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Handles and limits that each traffic thread needs.
#[derive(Clone, Debug)]
pub(crate) struct TrafficContext {
    /// Handles shared with the control thread.
    pub(crate) shared: Arc<Shared>,
    /// Claims at-most-once requests.
    pub(crate) claims: ClaimsHandle,
    /// Limits of the claims.
    pub(crate) claim_limits: ClaimLimits,
    /// Set when a graceful shutdown begins; responses then close their connections.
    pub(crate) closing: Arc<AtomicBool>,
    /// Longest wait in a graceful shutdown for requests in flight; `None` waits without limit.
    pub(crate) drain_limit: Option<Duration>,
}

/// Phase of a traffic thread; the order of the variants is the order in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Connections are accepted and requests served.
    Serving,
    /// No connection is accepted; requests in flight are completed.
    Draining,
    /// The thread ends, with all tasks that are left on it.
    Ended,
}

/// The running traffic threads.
#[derive(Debug)]
pub(crate) struct TrafficThreads {
    phase: watch::Sender<Phase>,
    drained: Vec<oneshot::Receiver<eyre::Result<()>>>,
}

impl TrafficThreads {
    /// Starts `threads` threads that accept connections from `listener`.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread, its runtime or its copy of the socket cannot be created.
    pub(crate) fn start(
        listener: TcpListener,
        threads: usize,
        context: &TrafficContext,
    ) -> eyre::Result<Self> {
        let listener = listener.into_std()?;
        let phase = watch::Sender::new(Phase::Serving);
        let mut drained = Vec::with_capacity(threads);
        for index in 0..threads {
            let (tx, rx) = oneshot::channel();
            let listener =
                listener.try_clone().wrap_err("failed to duplicate the socket for callers")?;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .wrap_err("failed to create the runtime of a traffic thread")?;
            let worker = Worker {
                listener,
                context: context.clone(),
                phase: phase.subscribe(),
                drained_tx: tx,
            };
            std::thread::Builder::new()
                .name(format!("traffic-{index}"))
                .spawn(move || runtime.block_on(worker.run()))
                .wrap_err("failed to start a traffic thread")?;
            drained.push(rx);
        }
        Ok(Self { phase, drained })
    }

    /// Stops accepting connections and waits for the requests in flight, up to the drain limit.
    ///
    /// Tasks of at-most-once requests whose callers have disconnected continue until the value is
    /// dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if a traffic thread failed to serve callers or ended unexpectedly.
    pub(crate) async fn drain(&mut self) -> eyre::Result<()> {
        self.phase.send_replace(Phase::Draining);
        for drained in self.drained.drain(..) {
            drained.await.map_err(|_| eyre!("a traffic thread ended before it was drained"))??;
        }
        Ok(())
    }
}

impl Drop for TrafficThreads {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Ended);
    }
}

/// State of one traffic thread.
struct Worker {
    listener: std::net::TcpListener,
    context: TrafficContext,
    phase: watch::Receiver<Phase>,
    drained_tx: oneshot::Sender<eyre::Result<()>>,
}

impl Worker {
    async fn run(self) {
        let Self { listener, context, mut phase, drained_tx } = self;
        let result = serve(listener, context, phase.clone()).await;
        let _ = drained_tx.send(result);
        let _ = phase.wait_for(|phase| *phase == Phase::Ended).await;
    }
}

/// Serves callers until a graceful shutdown has begun and the requests in flight have ended, or the
/// drain limit has passed.
async fn serve(
    listener: std::net::TcpListener,
    context: TrafficContext,
    mut phase: watch::Receiver<Phase>,
) -> eyre::Result<()> {
    let connections = Arc::new(ConnectionRegistry::default());
    let listener = TcpListener::from_std(listener)?;
    connections.bounds().set_max_head_bytes(MAX_HEAD_BYTES);
    tokio::spawn(caller_bounds::enforce(Arc::clone(&context.shared), Arc::clone(&connections)));
    let acceptor = ConnectionAcceptor::new(listener, Arc::clone(&connections))?;
    let chain = chain(&context);
    let callers = CallerEndpoint::new(context.shared, chain, connections, context.closing);
    let stop = async move {
        let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    };
    Server::new(acceptor)
        .idle_timeout(CALLER_IDLE_TIMEOUT)
        .run_until(callers, stop, context.drain_limit)
        .await;
    Ok(())
}

/// Creates the filter chain of one thread: account, admit, claim, forward.
fn chain(context: &TrafficContext) -> impl Handler + use<> {
    let shared = &context.shared;
    let forward = Forward::new(Arc::clone(shared), BackendClient::new());
    let claim = Chain::new(
        Claim::new(shared.clock, context.claims.clone(), &context.claim_limits),
        forward,
    );
    let admit = Chain::new(Admit::new(Arc::clone(shared)), claim);
    Chain::new(Account::new(Arc::clone(shared)), admit)
}
