//! Proxy in front of backend servers, or of the store, that responds to some requests itself.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy};
use tokio::net::{TcpListener, TcpStream};

/// Bytes that a proxy sends in place of a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fault {
    /// Bytes sent once.
    pub(crate) start: String,
    /// Bytes sent after them without end; nothing more is sent if empty.
    pub(crate) repeated: String,
    /// Pause after each repetition.
    pub(crate) pause: Duration,
}

/// Returns the fault with which the request that these bytes begin is answered, `None` if it is
/// forwarded.
pub(crate) type FaultOf = fn(&[u8]) -> Option<Fault>;

/// Puts a proxy in front of each backend server of a service.
pub(crate) fn put_before_targets(service: &mut Value, fault_of: FaultOf) {
    for target in service["targets"].as_array_mut().unwrap() {
        let backend = target["address"].as_str().unwrap().parse().unwrap();
        target["address"] = start_proxy(backend, fault_of).to_string().into();
    }
}

/// Starts a proxy in front of a server; returns its address.
pub(crate) fn start_proxy(server: SocketAddr, fault_of: FaultOf) -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(accept(TcpListener::from_std(listener).unwrap(), server, fault_of));
    address
}

async fn accept(listener: TcpListener, backend: SocketAddr, fault_of: FaultOf) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, backend, fault_of));
    }
}

/// Forwards a connection until it ends or a request is answered with a fault.
async fn serve(gateway: TcpStream, backend: SocketAddr, fault_of: FaultOf) {
    let Ok(backend) = TcpStream::connect(backend).await else {
        return;
    };
    let (mut gateway_rx, mut gateway_tx) = gateway.into_split();
    let (mut backend_rx, mut backend_tx) = backend.into_split();
    let (fault_tx, fault_rx) = tokio::sync::oneshot::channel();
    let requests = async move {
        let mut buf = vec![0; 16 << 10];
        loop {
            match gateway_rx.read(&mut buf).await {
                Ok(count) if count > 0 => {
                    if let Some(fault) = fault_of(&buf[..count]) {
                        let _ = fault_tx.send(fault);
                        // Until the gateway closes the connection.
                        while gateway_rx.read(&mut buf).await.is_ok_and(|count| count > 0) {}
                        return;
                    }
                    if backend_tx.write_all(&buf[..count]).await.is_err() {
                        return;
                    }
                }
                _ => return,
            }
        }
    };
    let responses = async move {
        tokio::select! {
            _ = copy(&mut backend_rx, &mut gateway_tx) => {}
            Ok(fault) = fault_rx => send(&mut gateway_tx, &fault).await,
        }
    };
    tokio::select! {
        () = requests => {}
        () = responses => {}
    }
}

/// Sends a fault until the gateway closes the connection.
async fn send(stream: &mut (impl AsyncWriteExt + Unpin), fault: &Fault) {
    if stream.write_all(fault.start.as_bytes()).await.is_err() {
        return;
    }
    if fault.repeated.is_empty() {
        std::future::pending::<()>().await;
    }
    while stream.write_all(fault.repeated.as_bytes()).await.is_ok() {
        tokio::time::sleep(fault.pause).await;
    }
}
