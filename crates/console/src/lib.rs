//! The operators' web forms.
