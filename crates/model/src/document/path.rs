//! Paths of values in a document, such as `teams[0].quota.cpu`.
//!
//! Diagnostics use such paths as locations, and the console's forms use them as field names.

/// One step of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathStep<'a> {
    /// Into an object, by key.
    Key(&'a str),
    /// Into a list, by index from zero.
    Index(usize),
}

/// Returns the steps of a path. An index that is not a number is treated as a key.
///
/// # Examples
///
/// ```
/// use kspan_model::document::{PathStep, path_steps};
///
/// let steps: Vec<_> = path_steps("teams[0].name").collect();
/// assert_eq!(steps, [PathStep::Key("teams"), PathStep::Index(0), PathStep::Key("name")]);
/// ```
pub fn path_steps(path: &str) -> impl Iterator<Item = PathStep<'_>> {
    let parts = path.split(['.', '[']).filter(|part| !part.is_empty());
    parts.map(|part| {
        let digits = part.strip_suffix(']');
        match digits.and_then(|digits| digits.parse().ok()) {
            Some(index) => PathStep::Index(index),
            None => PathStep::Key(part),
        }
    })
}
