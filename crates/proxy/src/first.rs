//! Waits for the first of several futures whose result decides.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;

/// Polls all futures and passes each result, with the index of its future, to `decide`
/// until it returns a value. The remaining futures are then dropped. Returns `None` if no
/// result decides.
pub(crate) async fn first_deciding<F: Future, R>(
    futures: Vec<Pin<Box<F>>>,
    mut decide: impl FnMut(usize, F::Output) -> Option<R>,
) -> Option<R> {
    let mut open: Vec<(usize, Pin<Box<F>>)> = futures.into_iter().enumerate().collect();
    poll_fn(|context| {
        let mut decided = None;
        open.retain_mut(|(place, future)| {
            if decided.is_some() {
                return true;
            }
            match future.as_mut().poll(context) {
                Poll::Pending => true,
                Poll::Ready(result) => {
                    decided = decide(*place, result);
                    false
                }
            }
        });
        match decided {
            None if !open.is_empty() => Poll::Pending,
            decided => Poll::Ready(decided),
        }
    })
    .await
}
