//! A fake gateway with canned responses, and helpers that run the binary.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Output};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;

use async_channel::Sender;
use async_executor::Executor;
use async_io::block_on;
use molespan_http::{Request, Response, Server, ServerLimits};

/// HTTP server with test-defined responses that records its requests.
pub struct FakeGateway {
    /// Address of the server.
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<String>>>,
    _stop: Sender<()>,
}

impl FakeGateway {
    /// Starts a server that runs until drop. `answer` receives the request and its body.
    pub fn start(answer: impl Fn(&Request, &str) -> Response + Send + Sync + 'static) -> Self {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::bind(address, ServerLimits::default()).expect("an address");
        let address = server.local_address();
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let recorded = requests.clone();
        let answer = Arc::new(answer);
        let handler = move |mut request: Request| {
            let (recorded, answer) = (recorded.clone(), answer.clone());
            async move {
                let body = request.body_string().await.unwrap_or_default();
                let mut line = format!("{} {}", request.method(), request.url().path());
                if let Some(query) = request.url().query() {
                    line.push_str(&format!("?{query}"));
                }
                recorded
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(line);
                answer(&request, &body)
            }
        };
        thread::spawn(move || {
            let executor = Arc::new(Executor::new());
            executor
                .spawn(server.serve(executor.clone(), handler))
                .detach();
            let _ = block_on(executor.run(stopped.recv()));
        });
        Self {
            address,
            requests,
            _stop: stop,
        }
    }

    /// Returns the method, path and query of each request so far.
    pub fn requests(&self) -> Vec<String> {
        self.requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}

/// Runs the binary in `folder`.
pub fn molespan(folder: &Path, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_molespan"))
        .args(arguments)
        .current_dir(folder)
        .env_remove("MOLESPAN_GATEWAY")
        .env_remove("MOLESPAN_TENANT")
        .env("USER", "ana")
        .output()
        .expect("the binary runs")
}

/// Converts output to text.
pub fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
