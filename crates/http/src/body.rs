//! Bodies whose length is checked against the declared length.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures_lite::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Response};

use crate::buffered::poll_read_buffered;

/// Type-erased reader of a [`Body`].
pub(crate) type BodyReader = Box<dyn AsyncBufRead + Unpin + Send + Sync>;

/// A reader that fails with `UnexpectedEof` when the inner reader ends before
/// `remaining` has reached zero.
pub(crate) struct LengthChecked {
    reader: BodyReader,
    remaining: Option<usize>,
}

impl LengthChecked {
    /// Wraps `reader`; without a `length` its end is not checked.
    pub(crate) fn new(reader: BodyReader, length: Option<usize>) -> Self {
        Self {
            reader,
            remaining: length,
        }
    }
}

impl AsyncBufRead for LengthChecked {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        let available = ready!(Pin::new(&mut this.reader).poll_fill_buf(context))?;
        match this.remaining {
            Some(remaining) if available.is_empty() && remaining > 0 => {
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            Some(remaining) => Poll::Ready(Ok(&available[..available.len().min(remaining)])),
            None => Poll::Ready(Ok(available)),
        }
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(amount);
        }
        Pin::new(&mut self.reader).consume(amount);
    }
}

impl AsyncRead for LengthChecked {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, target)
    }
}

/// Makes a response fail when its body ends before the declared length, so that the
/// connection is closed. Otherwise the client would read the start of the next
/// response as the rest of this body.
pub(crate) fn check_declared_length(response: &mut Response) {
    let body = response.take_body();
    let length = body.len();
    if length.is_none() {
        response.set_body(body);
        return;
    }
    let checked = LengthChecked::new(body.into_reader(), length);
    response.set_body(Body::from_reader(checked, length));
}
