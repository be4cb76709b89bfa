//! Threads that run an executor.

use std::sync::Arc;

use async_executor::Executor;
use futures_lite::future;

/// Runs `task` on `executor`, with additional threads until the task ends.
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
            // `recv` returns once the sender is dropped at the end of the task.
            let _ = future::block_on(executor.run(ended.recv()));
        });
    }
    let output = async_io::block_on(executor.run(task));
    drop(running);
    output
}
