//! Templates of the pages.

use askama::Template;
use kspan_model::document::Diagnostic;
use kspan_operator::Change;

use crate::{
    form::{Field, FieldKind},
    rows::Table,
};

/// One field with its descendants.
#[derive(Template)]
#[template(path = "field.html")]
pub(crate) struct FieldView<'a> {
    field: &'a Field,
    /// Whether the field is a list item, which is shown with a button to remove it.
    is_item: bool,
}

impl<'a> FieldView<'a> {
    pub(crate) fn new(field: &'a Field) -> Self {
        Self {
            field,
            is_item: false,
        }
    }

    pub(crate) fn list_item(field: &'a Field) -> Self {
        Self {
            field,
            is_item: true,
        }
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

/// An error or warning in the summary above the forms.
pub(crate) struct DiagnosticLink {
    pub(crate) text: String,
    /// Id of the field's element; empty if no field has the path of the diagnostic.
    pub(crate) id: String,
}

impl DiagnosticLink {
    pub(crate) fn new(diagnostic: &Diagnostic, fields: &[Field]) -> Self {
        let has_field = fields
            .iter()
            .any(|field| field.contains_path(&diagnostic.path));
        let id = if has_field {
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

/// Returns the id of the HTML element for the field at a path.
fn element_id(path: &str) -> String {
    path.replace(['[', ']', '.'], "-")
}

/// The page with the forms.
#[derive(Template)]
#[template(path = "edit.html")]
pub(crate) struct EditPage {
    pub(crate) base: u64,
    pub(crate) author: String,
    pub(crate) fields: Vec<Field>,
    /// All errors and warnings, with links to their fields.
    pub(crate) diagnostics: Vec<DiagnosticLink>,
    /// Whether the text in force has comments, which the forms do not preserve.
    pub(crate) comments: bool,
}

/// The page that shows a document and its changes before it is published.
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

/// The page that shows the outcome of publishing a change.
#[derive(Template)]
#[template(path = "result.html")]
pub(crate) struct ResultPage {
    pub(crate) title: String,
    pub(crate) message: String,
    pub(crate) text: String,
    pub(crate) author: String,
    /// Version against which the form checks the text: after an attempt to publish, the one in force,
    /// else the one from which the text was edited.
    pub(crate) base: u64,
    /// Changes of this operator.
    pub(crate) ours: Vec<Change>,
    /// Changes of other operators since the base version.
    pub(crate) theirs: Vec<Change>,
    pub(crate) conflict: bool,
}

/// Pages that consist of tables.
#[derive(Template)]
#[template(path = "tables.html")]
pub(crate) struct TablesPage {
    pub(crate) title: String,
    pub(crate) note: String,
    pub(crate) tables: Vec<Table>,
}
