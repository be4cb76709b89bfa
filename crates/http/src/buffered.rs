//! Reading from a source that holds its bytes in a buffer.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::AsyncBufRead;

/// `poll_read` of a source that is read through its buffer alone.
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
