//! Tests of the client against the server.

mod common;

use std::time::Duration;

use async_executor::Executor;
use async_io::{Timer, block_on};
use common::{LONG, TestHandler, heartbeat, start, status_of};
use molespan_types::{GroupId, NodeId, RunOutcome};
use molespan_wire::{
    CallError, CallFailure, Client, ClientLimits, DropPolicy, Request, Response, ServerLimits,
};
use std::sync::Arc;

#[test]
fn many_calls_share_a_connection_and_keep_their_answers() {
    let executor = Arc::new(Executor::new());
    let server = start(&executor, TestHandler::default(), ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        let mut calls = Vec::new();
        for node in 0..200 {
            let client = client.clone();
            let call = async move { client.call(heartbeat(node), LONG).await };
            calls.push((node, executor.spawn(call)));
        }
        for (node, call) in calls {
            assert_eq!(call.await.unwrap(), status_of(node));
        }
        assert_eq!(client.counters().connections, 1);
    }));
}

#[test]
fn answers_may_come_in_any_order() {
    let executor = Arc::new(Executor::new());
    let handler = TestHandler::default();
    let release = handler.release.clone();
    let server = start(&executor, handler, ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        let slow = executor.spawn({
            let client = client.clone();
            async move { client.call(Request::Status, LONG).await }
        });
        let quick = client.call(heartbeat(7), LONG).await.unwrap();
        assert_eq!(quick, status_of(7));
        release.send(()).await.unwrap();
        assert_eq!(slow.await.unwrap(), Response::Acknowledged);
    }));
}

#[test]
fn messages_arrive_in_order() {
    let executor = Arc::new(Executor::new());
    let handler = TestHandler::default();
    let notified = handler.notified.clone();
    let server = start(&executor, handler, ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        for node in 0..500 {
            assert!(client.send(heartbeat(node)));
        }
        for node in 0..500 {
            assert_eq!(notified.recv().await.unwrap(), heartbeat(node));
        }
    }));
}

#[test]
fn a_call_that_was_not_written_is_not_sent() {
    let executor = Arc::new(Executor::new());
    // A bound port without accept would still take bytes; a closed port refuses the
    // connection.
    let closed = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = closed.local_addr().unwrap();
    drop(closed);
    let client = Client::new(&executor, address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        let error = client.call(Request::Status, LONG).await.unwrap_err();
        assert_eq!(error, CallError::NotSent(CallFailure::Unreachable));
        assert_eq!(error.outcome(), RunOutcome::NotRun);
    }));
}

#[test]
fn a_call_without_an_answer_is_ambiguous() {
    let executor = Arc::new(Executor::new());
    let server = start(&executor, TestHandler::default(), ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        // Opens the connection, so that the next call is written at once.
        client.call(heartbeat(1), LONG).await.unwrap();
        let short = Duration::from_millis(500);
        let error = client.call(Request::Status, short).await.unwrap_err();
        assert_eq!(error, CallError::Ambiguous(CallFailure::Timeout));
        assert_eq!(error.outcome(), RunOutcome::Unknown);
        assert_eq!(client.call(heartbeat(2), LONG).await.unwrap(), status_of(2));
    }));
}

#[test]
fn a_request_that_is_too_long_is_not_sent() {
    let executor = Arc::new(Executor::new());
    let server = start(&executor, TestHandler::default(), ServerLimits::default());
    let limits = ClientLimits {
        max_frame_bytes: 100,
        ..ClientLimits::default()
    };
    let client = Client::new(&executor, server.address, limits, 1);
    let long = Request::Propose {
        group: GroupId(1),
        command: vec![0; 200].into(),
    };
    block_on(executor.run(async {
        let error = client.call(long.clone(), LONG).await.unwrap_err();
        assert_eq!(error, CallError::NotSent(CallFailure::TooLong));
        assert!(!client.send(long));
        assert_eq!(client.counters().dropped_messages, 1);
    }));
}

#[test]
fn a_client_reconnects_after_its_peer_restarted() {
    let executor = Arc::new(Executor::new());
    let server = start(&executor, TestHandler::default(), ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        client.call(heartbeat(1), LONG).await.unwrap();
        server.handle.stop();
        server.finished.recv().await.unwrap_err();
        while client.call(heartbeat(2), LONG).await.is_ok() {}
        common::start_at(&executor, server.address, TestHandler::default());
        while client.call(heartbeat(3), LONG).await != Ok(status_of(3)) {
            Timer::after(Duration::from_millis(1)).await;
        }
        assert!(client.counters().connections >= 2);
    }));
}

#[test]
fn a_broken_connection_leaves_its_calls_ambiguous() {
    let executor = Arc::new(Executor::new());
    let server = start(&executor, TestHandler::default(), ServerLimits::default());
    let client = Client::new(&executor, server.address, ClientLimits::default(), 1);
    block_on(executor.run(async {
        client.call(heartbeat(1), LONG).await.unwrap();
        let waiting = executor.spawn({
            let client = client.clone();
            async move { client.call(Request::Status, LONG).await }
        });
        // The response to a later call proves that the first call was written.
        client.call(heartbeat(2), LONG).await.unwrap();
        server.handle.stop();
        let error = waiting.await.unwrap_err();
        assert_eq!(error, CallError::Ambiguous(CallFailure::Disconnected));
    }));
}

#[test]
fn a_full_queue_drops_according_to_its_policy() {
    for (policy, kept) in [(DropPolicy::Oldest, [2, 3]), (DropPolicy::Newest, [0, 1])] {
        let executor = Arc::new(Executor::new());
        let handler = TestHandler::default();
        let notified = handler.notified.clone();
        let server = start(&executor, handler, ServerLimits::default());
        let limits = ClientLimits {
            max_queued_messages: 2,
            drop_policy: policy,
            ..ClientLimits::default()
        };
        // Nothing is written before the executor runs.
        let client = Client::new(&executor, server.address, limits, 1);
        for node in 0..4 {
            let queued = client.send(heartbeat(node));
            assert_eq!(queued, node < 2 || policy == DropPolicy::Oldest);
        }
        assert_eq!(client.counters().dropped_messages, 2);
        block_on(executor.run(async {
            for node in kept {
                assert_eq!(notified.recv().await.unwrap(), heartbeat(node));
            }
        }));
    }
}

#[test]
fn a_silent_peer_is_disconnected() {
    let executor = Arc::new(Executor::new());
    // Accepts the connection but never answers, like a peer behind an undetected
    // network partition.
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = silent.local_addr().unwrap();
    let limits = ClientLimits {
        silence_limit: Duration::from_millis(40),
        ..ClientLimits::default()
    };
    let client = Client::new(&executor, address, limits, 1);
    block_on(executor.run(async {
        assert!(client.send(heartbeat(NodeId(1).0)));
        let error = client.call(Request::Status, LONG).await.unwrap_err();
        assert_eq!(error, CallError::Ambiguous(CallFailure::Disconnected));
    }));
}
