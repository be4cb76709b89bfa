//! `poll_read` for readers that implement [`AsyncBufRead`].

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::AsyncBufRead;

/// Implements `poll_read` with `poll_fill_buf` and `consume`.
pub(crate) fn poll_read_buffered(
    mut source: Pin<&mut impl AsyncBufRead>,
    context: &mut Context<'_>,
    target: &mut [u8],
) -> Poll<io::Result<usize>> {
    let available = ready!(source.as_mut().poll_fill_buf(context))?;
    let count = available.len().min(target.len());
    target[..count].copy_from_slice(&available[..count]);
    source.consume(count);
    Poll::Ready(Ok(count))
}
