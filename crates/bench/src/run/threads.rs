//! Threads that run an executor.

use std::sync::Arc;

use async_executor::Executor;
use futures_lite::future;

/// Runs `task` on `executor` with threads of its own until it ends.
pub fn run_on_threads<T>(
    executor: &Arc<Executor<'static>>,
    threads: usize,
    task: impl Future<Output = T>,
) -> T {
    let (running, ended) = async_channel::bounded::<()>(1);
    for _ in 0..threads {
        let executor = executor.clone();
        let ended = ended.clone();
        std::thread::spawn(move || {
            // The channel closes with the run.
            let _ = future::block_on(executor.run(ended.recv()));
        });
    }
    let output = async_io::block_on(executor.run(task));
    drop(running);
    output
}
