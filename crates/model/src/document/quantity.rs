//! Quantities with units, as operators write them.

use quick_error::quick_error;

use crate::Millis;

/// Result of reading a quantity.
pub type Result<T> = std::result::Result<T, QuantityError>;

quick_error! {
    /// Why a quantity could not be read.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum QuantityError {
        /// The number or its unit is missing or unknown.
        InvalidFormat(text: String, units: &'static str) {
            display("{text:?} is not a whole number with one of the units {units}")
        }
        /// The amount does not fit.
        TooLarge(text: String) {
            display("{text:?} is too large")
        }
    }
}

const MIB_PER_GIB: u64 = 1_024;
const MIB_PER_TIB: u64 = 1_024 * MIB_PER_GIB;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// Reads processors, such as `2` or `500m`, as thousandths of a core.
///
/// # Errors
///
/// Returns an error for any other form or an amount that does not fit.
///
/// # Examples
///
/// ```
/// use kspan_model::document::parse_cpu;
///
/// assert_eq!(parse_cpu("2").unwrap(), 2_000);
/// assert_eq!(parse_cpu("500m").unwrap(), 500);
/// ```
pub fn parse_cpu(text: &str) -> Result<u64> {
    scaled(text, &[("m", 1), ("", 1_000)], "cores or m")
}

/// Reads memory, such as `512MiB`, `8GiB` or `1TiB`, as MiB.
///
/// # Errors
///
/// Returns an error for any other form or an amount that does not fit.
pub fn parse_memory(text: &str) -> Result<u64> {
    scaled(
        text,
        &[("MiB", 1), ("GiB", MIB_PER_GIB), ("TiB", MIB_PER_TIB)],
        "MiB, GiB, TiB",
    )
}

/// Reads a span, such as `250ms`, `5s`, `10m` or `2h`.
///
/// # Errors
///
/// Returns an error for any other form or an amount that does not fit.
pub fn parse_duration(text: &str) -> Result<Millis> {
    let units = [
        ("ms", 1),
        ("s", MILLIS_PER_SECOND),
        ("m", MILLIS_PER_MINUTE),
        ("h", MILLIS_PER_HOUR),
    ];
    scaled(text, &units, "ms, s, m, h").map(Millis)
}

/// Writes thousandths of a core the way [`parse_cpu`] reads them.
pub fn format_cpu(milli: u64) -> String {
    if milli.is_multiple_of(1_000) {
        (milli / 1_000).to_string()
    } else {
        format!("{milli}m")
    }
}

/// Writes MiB the way [`parse_memory`] reads them.
pub fn format_memory(mib: u64) -> String {
    if mib > 0 && mib.is_multiple_of(MIB_PER_GIB) {
        format!("{}GiB", mib / MIB_PER_GIB)
    } else {
        format!("{mib}MiB")
    }
}

fn scaled(text: &str, units: &[(&str, u64)], names: &'static str) -> Result<u64> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let form = || QuantityError::InvalidFormat(text.to_owned(), names);
    if digits.is_empty() {
        return Err(form());
    }
    let (_, scale) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(form)?;
    let too_large = || QuantityError::TooLarge(text.to_owned());
    let number: u64 = digits.parse().map_err(|_| too_large())?;
    number.checked_mul(*scale).ok_or_else(too_large)
}
