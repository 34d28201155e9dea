//! Pages as templates.

use askama::Template;
use kspan_model::document::Diagnostic;
use kspan_operator::Change;

use crate::{
    form::{Field, FieldKind},
    rows::Table,
};

/// One field with everything below it.
#[derive(Template)]
#[template(path = "field.html")]
pub(crate) struct FieldView<'a> {
    field: &'a Field,
    /// Path of the list item that this field is, so that it can be removed.
    item: bool,
}

impl<'a> FieldView<'a> {
    pub(crate) fn new(field: &'a Field) -> Self {
        Self { field, item: false }
    }

    pub(crate) fn item(field: &'a Field) -> Self {
        Self { field, item: true }
    }

    fn id(&self) -> String {
        element_id(&self.field.path)
    }

    fn described_by(&self) -> String {
        let id = self.id();
        if self.field.diagnostics.is_empty() {
            format!("{id}-help")
        } else {
            format!("{id}-help {id}-fault")
        }
    }
}

/// A fault in the summary above the forms.
pub(crate) struct DiagnosticLink {
    pub(crate) text: String,
    /// Id of the field's element; empty where the fault belongs to no field.
    pub(crate) id: String,
}

impl DiagnosticLink {
    pub(crate) fn new(diagnostic: &Diagnostic, fields: &[Field]) -> Self {
        let shown = fields.iter().any(|field| field.shows(&diagnostic.path));
        let id = if shown {
            element_id(&diagnostic.path)
        } else {
            String::new()
        };
        Self {
            text: format!("{}: {}", diagnostic.path, diagnostic.message),
            id,
        }
    }
}

/// Returns the id of the element that shows a path.
fn element_id(path: &str) -> String {
    path.replace(['[', ']', '.'], "-")
}

/// The forms.
#[derive(Template)]
#[template(path = "edit.html")]
pub(crate) struct EditPage {
    pub(crate) base: u64,
    pub(crate) author: String,
    pub(crate) fields: Vec<Field>,
    /// Every fault, with a link to its field where it has one.
    pub(crate) diagnostics: Vec<DiagnosticLink>,
    /// Whether the text in force has comments, which the forms can't keep.
    pub(crate) comments: bool,
}

/// The text of a document, before it is published.
#[derive(Template)]
#[template(path = "review.html")]
pub(crate) struct ReviewPage {
    pub(crate) base: u64,
    pub(crate) author: String,
    pub(crate) text: String,
    pub(crate) diagnostics: Vec<String>,
    pub(crate) valid: bool,
    pub(crate) changes: Vec<Change>,
}

/// What became of a change.
#[derive(Template)]
#[template(path = "result.html")]
pub(crate) struct ResultPage {
    pub(crate) title: String,
    pub(crate) message: String,
    pub(crate) text: String,
    pub(crate) author: String,
    /// Version in force now.
    pub(crate) newest: u64,
    /// What this operator changed.
    pub(crate) ours: Vec<Change>,
    /// What others changed meanwhile.
    pub(crate) theirs: Vec<Change>,
    pub(crate) conflict: bool,
}

/// Pages that only show tables.
#[derive(Template)]
#[template(path = "tables.html")]
pub(crate) struct TablesPage {
    pub(crate) title: String,
    pub(crate) note: String,
    pub(crate) tables: Vec<Table>,
}
