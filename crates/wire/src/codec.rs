//! Encoding of envelopes, with bounds on both sides.

use kspan_model::Name;
use quick_error::quick_error;

use crate::message::{Envelope, PROTOCOL_VERSION};

/// Result of encoding or decoding.
pub type Result<T> = std::result::Result<T, CodecError>;

quick_error! {
    /// Why a message was not encoded or decoded.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum CodecError {
        /// The message is larger than its transport takes.
        TooLarge(bytes: usize) {
            display("a message of {bytes} bytes is too large")
        }
        /// The message is of another protocol version.
        UnsupportedVersion(version: u16) {
            display("protocol version {version}")
        }
        /// The message is for another cell.
        WrongCell(cell: Name) {
            display("the message is for cell {cell}")
        }
        /// The bytes are no message.
        Malformed {
            display("malformed message")
        }
    }
}

/// Encodes an envelope into at most `max` bytes.
///
/// # Errors
///
/// Returns an error when the encoding is larger than `max`.
pub fn encode(envelope: &Envelope, max: usize) -> Result<Vec<u8>> {
    let buf = postcard::to_stdvec(envelope).map_err(|_| CodecError::Malformed)?;
    if buf.len() > max {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf)
}

/// Decodes an envelope of at most `max` bytes that is meant for `cell`.
///
/// The version is read before anything else, because the rest of another version's message may
/// have any form.
///
/// # Errors
///
/// Returns an error for anything else; nothing larger than `buf` is ever allocated for it.
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
