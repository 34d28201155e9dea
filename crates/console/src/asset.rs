//! The style sheet, served from the program itself.

pub(crate) const STYLE: &str = include_str!("../templates/style.css");
