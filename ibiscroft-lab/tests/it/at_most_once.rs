//! Orders whose backend server is killed: told unknown, and never run a second time.

use ibiscroft_lab::backend::BackendControl;
use ibiscroft_lab::backend::ResponseFaults;
use ibiscroft_lab::load::timed_key;
use reqwest::{Method, RequestBuilder, Response};

use crate::support::{System, wait_until};

const ORDERS: usize = 6;

fn order(system: &System, gateway: usize, key: &str) -> RequestBuilder {
    let request = system.request(gateway, Method::POST, "/stamp?work_ms=2000");
    request.header("idempotency-key", key).body("strap")
}

fn execution(response: &Response) -> Option<&str> {
    response.headers().get("x-execution")?.to_str().ok()
}

#[tokio::test]
async fn a_killed_server_leaves_its_orders_unknown_and_not_doubled() {
    let mut system = System::start("kill-mid-order", 2, 3).await;
    let mut pending = Vec::new();
    for number in 0..ORDERS {
        let key = timed_key(&number.to_string());
        pending.push((tokio::spawn(order(&system, number % 2, &key).send()), key));
    }
    wait_until("all orders run", async || {
        let mut running = 0;
        for backend in &system.backends {
            running += backend.counters().await.running;
        }
        running == ORDERS
    })
    .await;
    let mut held = Vec::new();
    for (index, backend) in system.backends.iter().enumerate() {
        held.push((backend.counters().await.running, index));
    }
    let (killed_orders, victim) = held.into_iter().max().unwrap();
    system.backends[victim].process.kill().await.unwrap();

    let mut unknown = Vec::new();
    for (call, key) in pending {
        let response = call.await.unwrap().unwrap();
        if response.status().is_success() {
            continue;
        }
        assert_eq!(execution(&response), Some("unknown"), "order {key}");
        unknown.push(key);
    }
    assert_eq!(unknown.len(), killed_orders);

    for key in unknown {
        for gateway in 0..2 {
            let again = order(&system, gateway, &key).send().await.unwrap();
            assert!(!again.status().is_success(), "order {key} through gateway {gateway}");
            assert_eq!(execution(&again), Some("unknown"), "order {key}");
        }
    }
    let executed = system.executed();
    assert_eq!(executed.keys(), ORDERS);
    assert_eq!(executed.doubled(), Vec::<&str>::new());
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_its_order_runs_once() {
    let system = System::start("lost-answer", 2, 2).await;
    for backend in &system.backends {
        let faults = ResponseFaults { count: 1, lose_answer: true, ..ResponseFaults::default() };
        let control = BackendControl { answer_faults: Some(faults), ..BackendControl::default() };
        backend.admin.control(&control).await.unwrap();
    }
    let key = timed_key("lost");
    let first = order(&system, 0, &key).send().await.unwrap();
    assert_eq!(execution(&first), Some("unknown"));
    let again = order(&system, 1, &key).send().await.unwrap();
    assert!(!again.status().is_success());
    assert_eq!(execution(&again), Some("unknown"));
    assert_eq!(system.executed().executions_of_key(&key), 1);
}
