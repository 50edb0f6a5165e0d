//! Threads for traffic: each serves callers on a runtime of its own.
//!
//! A call then stays on one thread from its first byte to its last. All threads accept from the
//! same socket, so a connection goes to a thread that has time for it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use eyre::{WrapErr, eyre};
use ibiscroft_core::claims::ClaimLimits;
use ibiscroft_listener::{ConnectionAcceptor, ConnectionRegistry};
use poem::Server;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use crate::backend_client::BackendClient;
use crate::claims::ClaimsHandle;
use crate::filters::account::Account;
use crate::filters::admit::Admit;
use crate::filters::claim::Claim;
use crate::filters::forward::Forward;
use crate::filters::{Chain, Handler};
use crate::server::CallerEndpoint;
use crate::shared::Shared;

/// Longest time without a byte on a caller's connection; a request in flight goes on.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// What each traffic thread needs.
#[derive(Clone, Debug)]
pub(crate) struct TrafficParts {
    /// Handles shared with the control thread.
    pub(crate) shared: Arc<Shared>,
    /// Claims of requests that must run at most once.
    pub(crate) claims: ClaimsHandle,
    /// Limits of the claims.
    pub(crate) claim_limits: ClaimLimits,
    /// Set once callers are told to go elsewhere.
    pub(crate) closing: Arc<AtomicBool>,
    /// Longest wait for requests in flight at a planned stop.
    pub(crate) drain_limit: Option<Duration>,
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Phase {
    /// Callers are served.
    Serving,
    /// No connection is accepted; requests in flight go on.
    Draining,
    /// Nothing is left to do.
    Ended,
}

/// The running traffic threads.
#[derive(Debug)]
pub(crate) struct Traffic {
    phase: watch::Sender<Phase>,
    drained: Vec<oneshot::Receiver<eyre::Result<()>>>,
}

impl Traffic {
    /// Starts `threads` threads that accept from `listener`.
    ///
    /// # Errors
    ///
    /// Returns why a thread, its socket or its client for backend servers cannot be made.
    pub(crate) fn start(
        listener: TcpListener,
        threads: usize,
        parts: &TrafficParts,
    ) -> eyre::Result<Self> {
        let listener = listener.into_std()?;
        let phase = watch::Sender::new(Phase::Serving);
        let mut drained = Vec::with_capacity(threads);
        for index in 0..threads {
            let (tx, rx) = oneshot::channel();
            let listener = listener.try_clone().wrap_err("socket for callers")?;
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .wrap_err("runtime for traffic")?;
            let worker =
                Worker { listener, parts: parts.clone(), phase: phase.subscribe(), drained: tx };
            std::thread::Builder::new()
                .name(format!("traffic-{index}"))
                .spawn(move || runtime.block_on(worker.run()))
                .wrap_err("thread for traffic")?;
            drained.push(rx);
        }
        Ok(Self { phase, drained })
    }

    /// Accepts no more connections and waits for the requests in flight.
    ///
    /// Tasks that requests left behind run on until the value is dropped.
    ///
    /// # Errors
    ///
    /// Returns why a thread could not serve.
    pub(crate) async fn drain(&mut self) -> eyre::Result<()> {
        self.phase.send_replace(Phase::Draining);
        for drained in self.drained.drain(..) {
            drained.await.map_err(|_| eyre!("a traffic thread ended early"))??;
        }
        Ok(())
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.phase.send_replace(Phase::Ended);
    }
}

/// One traffic thread.
struct Worker {
    listener: std::net::TcpListener,
    parts: TrafficParts,
    phase: watch::Receiver<Phase>,
    drained: oneshot::Sender<eyre::Result<()>>,
}

impl Worker {
    async fn run(self) {
        let Self { listener, parts, mut phase, drained } = self;
        let served = serve(listener, parts, phase.clone()).await;
        let _ = drained.send(served);
        let _ = phase.wait_for(|phase| *phase == Phase::Ended).await;
    }
}

/// Serves callers until the stop began and each request in flight has ended.
async fn serve(
    listener: std::net::TcpListener,
    parts: TrafficParts,
    mut phase: watch::Receiver<Phase>,
) -> eyre::Result<()> {
    let connections = Arc::new(ConnectionRegistry::default());
    let listener = TcpListener::from_std(listener)?;
    let acceptor = ConnectionAcceptor::new(listener, Arc::clone(&connections))?;
    let chain = chain(&parts)?;
    let callers = CallerEndpoint::new(parts.shared, chain, connections, parts.closing);
    let stop = async move {
        let _ = phase.wait_for(|phase| *phase >= Phase::Draining).await;
    };
    Server::new_with_acceptor(acceptor)
        .idle_timeout(CALLER_IDLE_TIMEOUT)
        .run_with_graceful_shutdown(callers, stop, parts.drain_limit)
        .await
        .wrap_err("server for callers")
}

/// Makes the filter chain of one thread.
fn chain(parts: &TrafficParts) -> eyre::Result<impl Handler + use<>> {
    let shared = &parts.shared;
    let forward = Forward::new(Arc::clone(shared), BackendClient::new()?);
    let claim = Chain::new(Claim::new(parts.claims.clone(), &parts.claim_limits), forward);
    let admit = Chain::new(Admit::new(Arc::clone(shared)), claim);
    Ok(Chain::new(Account::new(Arc::clone(shared)), admit))
}
