//! Encoding and decoding of envelopes, both bounded in size.

use kspan_model::Name;
use quick_error::quick_error;

use crate::message::{Envelope, PROTOCOL_VERSION};

/// Result of encoding or decoding a message.
pub type Result<T> = std::result::Result<T, CodecError>;

quick_error! {
    /// Error of encoding or decoding a message.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// The message exceeds the size limit of its transport.
        TooLarge(bytes: usize) {
            display("message of {bytes} bytes exceeds the size limit")
        }
        /// The message has a protocol version other than [`PROTOCOL_VERSION`].
        UnsupportedVersion(version: u16) {
            display("unsupported protocol version {version}, expected {PROTOCOL_VERSION}")
        }
        /// The message was sent by a member of another cell.
        WrongCell(cell: Name) {
            display("message belongs to cell {cell}")
        }
        /// The bytes are not a valid encoding of an envelope.
        Malformed {
            display("malformed message")
        }
    }
}

/// Encodes an envelope into at most `max` bytes.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] if the encoding is larger than `max`.
pub fn encode(envelope: &Envelope, max: usize) -> Result<Vec<u8>> {
    let buf = postcard::to_stdvec(envelope).map_err(|_| CodecError::Malformed)?;
    if buf.len() > max {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf)
}

/// Decodes an envelope of at most `max` bytes that was sent within `cell`.
///
/// The version is decoded first, because the layout of the rest depends on it.
///
/// # Errors
///
/// Returns an error if `buf` is too large, malformed, of another protocol version or of another
/// cell. The allocations for a rejected message never exceed the size of `buf`.
pub fn decode(buf: &[u8], max: usize, cell: &Name) -> Result<Envelope> {
    if buf.len() > max {
        return Err(CodecError::TooLarge(buf.len()));
    }
    let (version, _) = postcard::take_from_bytes::<u16>(buf).map_err(|_| CodecError::Malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(CodecError::UnsupportedVersion(version));
    }
    let envelope = postcard::from_bytes::<Envelope>(buf).map_err(|_| CodecError::Malformed)?;
    if envelope.cell != *cell {
        return Err(CodecError::WrongCell(envelope.cell));
    }
    Ok(envelope)
}
