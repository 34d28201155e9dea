//! Frames on a stream: four bytes of length, big endian, and that many bytes.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::message::MAX_FRAME_BYTES;

/// Result of reading or writing a frame.
pub type Result<T> = io::Result<T>;

/// Reads one frame into `buf`. Returns `false` at the end of the stream between two frames.
///
/// # Errors
///
/// Returns an error when the stream fails or ends within a frame, and when the frame is larger
/// than [`MAX_FRAME_BYTES`]; nothing is allocated for such a frame.
pub async fn read_frame(rx: &mut (impl AsyncRead + Unpin), buf: &mut Vec<u8>) -> Result<bool> {
    let mut length = [0; 4];
    match rx.read_exact(&mut length).await {
        Ok(_) => {}
        Err(err) if err.kind() == io::ErrorKind::UnexpectedEof => return Ok(false),
        Err(err) => return Err(err),
    }
    let length = u32::from_be_bytes(length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the frame is too large",
        ));
    }
    buf.clear();
    let read = rx.take(length as u64).read_to_end(buf).await?;
    if read < length {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(true)
}

/// Writes one frame.
///
/// # Errors
///
/// Returns an error when the stream fails or the frame is larger than [`MAX_FRAME_BYTES`].
pub async fn write_frame(tx: &mut (impl AsyncWrite + Unpin), frame: &[u8]) -> Result<()> {
    let length = match u32::try_from(frame.len()) {
        Ok(length) if frame.len() <= MAX_FRAME_BYTES => length,
        _ => {
            let err = "the frame is too large";
            return Err(io::Error::new(io::ErrorKind::InvalidInput, err));
        }
    };
    let mut buf = Vec::with_capacity(4 + frame.len());
    buf.extend_from_slice(&length.to_be_bytes());
    buf.extend_from_slice(frame);
    tx.write_all(&buf).await
}
