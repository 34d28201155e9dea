//! The style sheet, embedded into the program.

pub(crate) const STYLE: &str = include_str!("../templates/style.css");
