//! Tests of the pool against the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::block_on;
use molespan_http::{
    ClientPresence, EventError, Method, Pool, PoolLimits, Request, Response, Server, ServerEvent,
    ServerHandle, ServerLimits, StatusCode, event_response, json_body, json_response, new_request,
    read_json, text_response,
};

/// Starts a server on the executor and returns its address and handle.
fn start<Handler, Answer>(
    executor: &Arc<Executor<'static>>,
    handler: Handler,
) -> (SocketAddr, ServerHandle)
where
    Handler: Fn(Request) -> Answer + Send + Sync + 'static,
    Answer: Future<Output = Response> + Send + 'static,
{
    let any = "127.0.0.1:0".parse().unwrap();
    let server = Server::bind(any, ServerLimits::default()).unwrap();
    let address = server.local_address();
    let handle = server.handle();
    executor
        .spawn(server.serve(executor.clone(), handler))
        .detach();
    (address, handle)
}

/// Echoes a JSON body.
async fn echo(mut request: Request) -> Response {
    let value: serde_json::Value = read_json(&mut request).await.unwrap();
    json_response(StatusCode::Ok, &value)
}

#[test]
fn json_round_trips_on_one_connection() {
    let executor = Arc::new(Executor::new());
    let (address, _) = start(&executor, echo);
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        for number in 0..5 {
            let mut request = new_request(Method::Post, address, "/echo").unwrap();
            request.set_body(json_body(&number));
            let response = pool.send(address, request).await.unwrap();
            assert_eq!(response.header("content-type"), Some("application/json"));
            assert_eq!(response.json::<i32>(100).await.unwrap(), number);
        }
        assert_eq!(pool.open_connections(address), 1);
    }));
}

#[test]
fn a_terminated_event_stream_releases_its_connection() {
    let executor = Arc::new(Executor::new());
    let spawner = executor.clone();
    let (address, _) = start(&executor, move |_| {
        let (writer, response) = event_response(2);
        let write = async move {
            for number in 0..20 {
                let event = ServerEvent::data(format!("line {number}\nsecond"));
                writer.send(&event).await.unwrap();
            }
            writer.finish_with_terminator().await.unwrap();
        };
        spawner.spawn(write).detach();
        async { response }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        for _ in 0..2 {
            let request = new_request(Method::Get, address, "/").unwrap();
            let mut events = pool.send(address, request).await.unwrap().events();
            let mut count = 0;
            while let Some(event) = events.next().await.unwrap() {
                assert_eq!(event.data, format!("line {count}\nsecond"));
                count += 1;
            }
            assert_eq!(count, 20);
        }
        assert_eq!(pool.open_connections(address), 1);
    }));
}

#[test]
fn a_stream_whose_writer_is_dropped_is_reported_as_truncated() {
    let executor = Arc::new(Executor::new());
    let spawner = executor.clone();
    let (address, _) = start(&executor, move |_| {
        let (writer, response) = event_response(2);
        let write = async move {
            writer.send(&ServerEvent::data("first")).await.unwrap();
        };
        spawner.spawn(write).detach();
        async { response }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        let request = new_request(Method::Get, address, "/").unwrap();
        let mut events = pool.send(address, request).await.unwrap().events();
        assert_eq!(events.next().await.unwrap().unwrap().data, "first");
        assert!(matches!(events.next().await, Err(EventError::Body(_))));
        drop(events);
        assert_eq!(pool.open_connections(address), 0);
    }));
}

#[test]
fn a_writer_detects_that_its_client_disconnected() {
    let executor = Arc::new(Executor::new());
    let spawner = executor.clone();
    let (noticed, noticing) = async_channel::bounded(1);
    let (address, _) = start(&executor, move |_| {
        let (writer, response) = event_response(2);
        let noticed = noticed.clone();
        let write = async move {
            writer.send(&ServerEvent::data("first")).await.unwrap();
            writer.closed().await;
            noticed.send(()).await.unwrap();
        };
        spawner.spawn(write).detach();
        async { response }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        let request = new_request(Method::Get, address, "/").unwrap();
        let mut events = pool.send(address, request).await.unwrap().events();
        events.next().await.unwrap().unwrap();
        drop(events);
        noticing.recv().await.unwrap();
    }));
}

#[test]
fn a_handler_detects_that_its_client_disconnected() {
    let executor = Arc::new(Executor::new());
    let (noticed, noticing) = async_channel::bounded(2);
    let (address, handle) = start(&executor, move |request: Request| {
        let noticed = noticed.clone();
        async move {
            let presence = ClientPresence::of(&request).unwrap();
            noticed.send(presence.is_gone()).await.unwrap();
            presence.gone().await;
            noticed.send(presence.is_gone()).await.unwrap();
            text_response(StatusCode::Ok, "nobody reads this")
        }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        let request = new_request(Method::Get, address, "/").unwrap();
        let sending = executor.spawn({
            let pool = pool.clone();
            async move { pool.send(address, request).await }
        });
        assert!(!noticing.recv().await.unwrap());
        sending.cancel().await;
        assert!(noticing.recv().await.unwrap());
        assert_eq!(pool.open_connections(address), 0);
        while handle.counters().open_connections > 0 {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        assert_eq!(handle.counters().aborted_responses, 1);
    }));
}

#[test]
fn a_shutdown_finishes_requests_in_flight() {
    let executor = Arc::new(Executor::new());
    let (started, starting) = async_channel::bounded(1);
    let (release, released) = async_channel::bounded::<()>(1);
    let (address, handle) = start(&executor, move |_| {
        let (started, released) = (started.clone(), released.clone());
        async move {
            started.send(()).await.unwrap();
            released.recv().await.unwrap();
            text_response(StatusCode::Ok, "whole")
        }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        let request = new_request(Method::Get, address, "/").unwrap();
        let sending = executor.spawn({
            let pool = pool.clone();
            async move { pool.send(address, request).await }
        });
        starting.recv().await.unwrap();
        let stopping = executor.spawn({
            let handle = handle.clone();
            async move {
                let long = Duration::from_secs(60);
                handle.shutdown(long, long).await
            }
        });
        // The shutdown has started once new connections are refused.
        while async_io::Async::<std::net::TcpStream>::connect(address)
            .await
            .is_ok()
        {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
        release.send(()).await.unwrap();
        let response = sending.await.unwrap();
        assert_eq!(response.header("connection"), Some("close"));
        assert_eq!(response.bytes(100).await.unwrap(), b"whole");
        assert_eq!(stopping.await.cut_off, 0);
    }));
}

#[test]
fn a_shutdown_reports_aborted_requests() {
    let executor = Arc::new(Executor::new());
    let (started, starting) = async_channel::bounded(1);
    let (address, handle) = start(&executor, move |_| {
        let started = started.clone();
        async move {
            started.send(()).await.unwrap();
            futures_lite::future::pending::<Response>().await
        }
    });
    let pool = Pool::new(PoolLimits::default());
    block_on(executor.run(async {
        let request = new_request(Method::Get, address, "/").unwrap();
        let sending = executor.spawn(async move { pool.send(address, request).await });
        starting.recv().await.unwrap();
        let none = Duration::ZERO;
        assert_eq!(handle.shutdown(none, none).await.cut_off, 1);
        assert!(sending.await.is_err());
    }));
}
