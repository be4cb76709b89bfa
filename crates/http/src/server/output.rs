//! Writes a response without delay and in few writes.

use std::future::Future;
use std::io;
use std::pin::{Pin, pin};
use std::task::Poll;
use std::time::Duration;

use async_h1::server::Encoder;
use derive_more::{Display, Error, From};
use futures_lite::future;
use futures_lite::io::{AsyncRead, AsyncWriteExt};

use crate::net::{SharedStream, with_timeout};

/// Maximum number of bytes collected for one write.
const BUFFER_BYTES: usize = 16 * 1024;
/// Minimum free space in bytes for a read from the encoder, which cannot frame a
/// chunk in less than six bytes.
const MIN_FREE_BYTES: usize = 512;

/// Why a response was cut short.
#[derive(Debug, Display, Error, From)]
pub(crate) enum OutputError {
    /// The client disconnected.
    #[display("the client is gone")]
    #[from(skip)]
    ClientGone,
    /// The client did not read the response before the write timeout.
    #[display("the client did not read the response in time")]
    #[from(skip)]
    TooSlow,
    /// The body or the socket failed.
    Failed(io::Error),
}

/// Collects the bytes that are available from `encoder`, waiting for at least one
/// byte unless it has ended. Returns the number of bytes.
async fn read_available(encoder: &mut Encoder, buffer: &mut [u8]) -> io::Result<usize> {
    let mut filled = 0;
    future::poll_fn(|context| {
        while buffer.len() - filled >= MIN_FREE_BYTES {
            match Pin::new(&mut *encoder).poll_read(context, &mut buffer[filled..]) {
                Poll::Ready(Ok(0)) => break,
                Poll::Ready(Ok(count)) => filled += count,
                // Bytes read before the failure are still sent to the client.
                Poll::Ready(Err(_)) if filled > 0 => break,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending if filled == 0 => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready(Ok(filled))
    })
    .await
}

/// Writes the complete response, unless `gone` completes between two writes.
///
/// # Errors
/// When the client is gone or too slow, or the body fails. The connection must
/// then be closed.
pub(crate) async fn write_response(
    stream: &SharedStream,
    mut encoder: Encoder,
    write_timeout: Duration,
    gone: impl Future<Output = ()>,
) -> Result<(), OutputError> {
    let mut buffer = vec![0; BUFFER_BYTES];
    let mut gone = pin!(gone);
    loop {
        let read = async { Ok(read_available(&mut encoder, &mut buffer).await?) };
        let disconnected = async {
            gone.as_mut().await;
            Err(OutputError::ClientGone)
        };
        let count = future::or(read, disconnected).await?;
        if count == 0 {
            return Ok(());
        }
        let mut writer = &**stream;
        with_timeout(write_timeout, writer.write_all(&buffer[..count]))
            .await
            .ok_or(OutputError::TooSlow)??;
    }
}
