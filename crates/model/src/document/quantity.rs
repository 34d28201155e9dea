//! Parsing and formatting of quantities with units.

use quick_error::quick_error;

use crate::Millis;

/// Result of parsing a quantity.
pub type Result<T> = std::result::Result<T, QuantityError>;

quick_error! {
    /// Errors of parsing a quantity.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum QuantityError {
        /// The number or its unit is missing or unknown.
        InvalidFormat(text: String, units: &'static str) {
            display("{text:?} is not a whole number with one of the units {units}")
        }
        /// The amount exceeds the range of 64 bits.
        TooLarge(text: String) {
            display("{text:?} exceeds the largest supported amount")
        }
    }
}

const MIB_PER_GIB: u64 = 1_024;
const MIB_PER_TIB: u64 = 1_024 * MIB_PER_GIB;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;
const MILLIS_PER_HOUR: u64 = 60 * MILLIS_PER_MINUTE;

/// Parses an amount of processors, such as `2` or `500m`, into thousandths of a core.
///
/// # Errors
///
/// Returns an error for any other format, or if the amount exceeds 64 bits.
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
    parse_scaled(text, &[("m", 1), ("", 1_000)], "cores or m")
}

/// Parses an amount of memory, such as `512MiB`, `8GiB` or `1TiB`, into MiB.
///
/// # Errors
///
/// Returns an error for any other format, or if the amount exceeds 64 bits.
pub fn parse_memory(text: &str) -> Result<u64> {
    parse_scaled(
        text,
        &[("MiB", 1), ("GiB", MIB_PER_GIB), ("TiB", MIB_PER_TIB)],
        "MiB, GiB, TiB",
    )
}

/// Parses a duration, such as `250ms`, `5s`, `10m` or `2h`.
///
/// # Errors
///
/// Returns an error for any other format, or if the amount exceeds 64 bits.
pub fn parse_duration(text: &str) -> Result<Millis> {
    let units = [
        ("ms", 1),
        ("s", MILLIS_PER_SECOND),
        ("m", MILLIS_PER_MINUTE),
        ("h", MILLIS_PER_HOUR),
    ];
    parse_scaled(text, &units, "ms, s, m, h").map(Millis)
}

/// Formats thousandths of a core in the syntax of [`parse_cpu`].
pub fn format_cpu(milli: u64) -> String {
    if milli.is_multiple_of(1_000) {
        (milli / 1_000).to_string()
    } else {
        format!("{milli}m")
    }
}

/// Formats MiB in the syntax of [`parse_memory`].
pub fn format_memory(mib: u64) -> String {
    if mib > 0 && mib.is_multiple_of(MIB_PER_GIB) {
        format!("{}GiB", mib / MIB_PER_GIB)
    } else {
        format!("{mib}MiB")
    }
}

fn parse_scaled(text: &str, units: &[(&str, u64)], names: &'static str) -> Result<u64> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let invalid_format = || QuantityError::InvalidFormat(text.to_owned(), names);
    if digits.is_empty() {
        return Err(invalid_format());
    }
    let (_, scale) = units
        .iter()
        .find(|(name, _)| *name == unit)
        .ok_or_else(invalid_format)?;
    let too_large = || QuantityError::TooLarge(text.to_owned());
    let number: u64 = digits.parse().map_err(|_| too_large())?;
    number.checked_mul(*scale).ok_or_else(too_large)
}
