//! Length-prefixed frames on a stream: a 4-byte big-endian length followed by the payload.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::message::MAX_FRAME_BYTES;

/// Result of reading or writing a frame.
pub type Result<T> = io::Result<T>;

/// Reads one frame into `buf`. Returns `false` if the stream ends before it.
///
/// # Errors
///
/// Returns an error if the stream fails or ends within the frame, or if the frame is larger than
/// [`MAX_FRAME_BYTES`]. An oversized frame is rejected before anything is allocated for it.
pub async fn read_frame(rx: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>) -> Result<bool> {
    let Some(length) = read_length(rx).await? else {
        return Ok(false);
    };
    read_payload(rx, length, buf).await?;
    Ok(true)
}

/// Reads the length of the next frame, in bytes. Returns `None` if the stream ends before it.
///
/// # Errors
///
/// Returns an error if the stream fails or ends within the length, or if the length is above
/// [`MAX_FRAME_BYTES`].
pub async fn read_length(rx: &mut (impl AsyncRead + Unpin)) -> Result<Option<usize>> {
    let mut length = [0; 4];
    let (first, rest) = length.split_at_mut(1);
    if rx.read(first).await? == 0 {
        return Ok(None);
    }
    rx.read_exact(rest).await?;
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "frame length exceeds the maximum frame size",
        ));
    }
    Ok(Some(length))
}

/// Reads the `length` bytes that follow a frame's length into `buf`.
///
/// # Errors
///
/// Returns an error if the stream fails or ends within the frame.
pub async fn read_payload(
    rx: &mut (impl AsyncRead + Unpin),
    length: usize,
    buf: &mut Vec<u8>,
) -> Result<()> {
    buf.clear();
    let read = rx.take(length as u64).read_to_end(buf).await?;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Writes one frame.
///
/// # Errors
///
/// Returns an error if the stream fails or the frame is larger than [`MAX_FRAME_BYTES`].
pub async fn write_frame(tx: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> Result<()> {
    let length = match u32::try_from(frame.len()) {
        Ok(length) if frame.len() <= MAX_FRAME_BYTES => length,
        _ => {
            let err = "frame exceeds the maximum frame size";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, err));
        }
    };
    let mut buf = Vec::with_capacity(4 + frame.len());
    buf.extend_from_slice(&length.to_be_bytes());
    buf.extend_from_slice(frame);
    tx.write_all(&buf).await
}
