//! Tests of connections as callers and request handlers see them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use ibiscroft_listener::{ConnectionAcceptor, ConnectionRegistry, close_on_error};
use poem::listener::Acceptor;
use poem::{Body, Request, Response, Server, endpoint};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::mpsc;

/// Serves `/fail` with a body that fails after its first piece, and any other path with a body that
/// never ends. Sends to `ended_tx` when the connection of the latter ends.
async fn serve(ended_tx: mpsc::UnboundedSender<()>) -> (SocketAddr, Arc<ConnectionRegistry>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(ConnectionRegistry::default());
    let acceptor = ConnectionAcceptor::new(listener, Arc::clone(&connections)).unwrap();
    let handler_connections = Arc::clone(&connections);
    let endpoint = endpoint::make_sync(move |req: Request| {
        let connection = handler_connections.for_request(&req).unwrap();
        if req.uri().path() == "/fail" {
            let pieces = [Ok(Bytes::from_static(b"part")), Err(io::Error::other("lost"))];
            let body = close_on_error(stream::iter(pieces), connection);
            return Response::builder().body(Body::from_bytes_stream(body));
        }
        let ended_tx = ended_tx.clone();
        tokio::spawn(async move {
            connection.ended().await;
            ended_tx.send(()).unwrap();
        });
        Response::builder().body(Body::from_bytes_stream(stream::pending::<io::Result<Bytes>>()))
    });
    tokio::spawn(Server::new_with_acceptor(acceptor).run(endpoint));
    (address, connections)
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

#[tokio::test]
async fn failed_body_is_not_received_as_complete() {
    let (ended_tx, _ended) = mpsc::unbounded_channel();
    let (address, _) = serve(ended_tx).await;
    let result = client().get(format!("http://{address}/fail")).send().await;
    let body = match result {
        Ok(response) => response.bytes().await,
        Err(error) => Err(error),
    };
    assert!(body.is_err(), "{body:?}");
}

#[tokio::test]
async fn handler_is_notified_when_caller_disconnects_or_connection_is_closed() {
    struct Case {
        name: &'static str,
        closed_by_server: bool,
    }
    let cases = [
        Case { name: "caller disconnects", closed_by_server: false },
        Case { name: "server closes", closed_by_server: true },
    ];
    for case in cases {
        let (ended_tx, mut ended) = mpsc::unbounded_channel();
        let (address, connections) = serve(ended_tx).await;
        let response = client().get(format!("http://{address}/wait")).send().await.unwrap();
        assert_eq!(connections.open_count(), 1, "{}", case.name);
        assert!(ended.try_recv().is_err(), "{}", case.name);
        if case.closed_by_server {
            connections.close_all();
        }
        drop(response);
        let notified = tokio::time::timeout(Duration::from_secs(10), ended.recv()).await;
        assert_eq!(notified, Ok(Some(())), "{}", case.name);
    }
}

/// Guards against requests that find no connection, because an earlier connection from the same
/// address ended after theirs was accepted.
#[tokio::test]
async fn connection_stays_registered_when_an_earlier_one_from_its_address_ends() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(ConnectionRegistry::default());
    let mut acceptor = ConnectionAcceptor::new(listener, Arc::clone(&connections)).unwrap();
    let connect = async |local: SocketAddr| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        // A reset frees the address at once.
        socket.set_zero_linger().unwrap();
        socket.bind(local).unwrap();
        socket.connect(address).await.unwrap()
    };
    // No other test or process binds ports of this address.
    let caller = connect(SocketAddr::from(([127, 0, 0, 37], 0))).await;
    let local = caller.local_addr().unwrap();
    let (earlier, ..) = acceptor.accept().await.unwrap();
    drop(caller);
    let _caller = connect(local).await;
    let (later, ..) = acceptor.accept().await.unwrap();
    assert_eq!(connections.open_count(), 1);
    drop(earlier);
    // The earlier connection is removed at once or by a task.
    for _ in 0..100 {
        tokio::task::yield_now().await;
    }
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(connections.open_count(), 1, "the later connection is open");
    drop(later);
}
