//! Parses and checks the text of a document, reporting all errors and warnings in one pass.

use serde_json::Value;

use crate::document::{
    Diagnostic, Diagnostics, Document, border, convert, locate, repair, schema, semantics,
};

/// Result of parsing a document.
pub type Result<T> = std::result::Result<T, Diagnostics>;

/// Maximum size of a document's text. The text must fit into a log record with its JSON escapes.
pub const MAX_DOCUMENT_BYTES: usize = 192 * 1024;

/// Maximum of a line's indentation plus its open brackets and dashes, as a bound on nesting. The
/// schema needs six levels.
const MAX_NESTING: usize = 256;

/// Result of checking a text.
#[derive(Clone, Debug, PartialEq)]
pub struct CheckResult {
    /// The document, if there are no errors.
    pub document: Option<Document>,
    /// All errors and warnings, in the order of the lines.
    pub diagnostics: Diagnostics,
}

/// Parses a text as a document.
///
/// # Errors
///
/// Returns all errors and warnings if there is at least one error.
///
/// # Examples
///
/// ```
/// use kspan_model::document::parse;
///
/// let text = "
/// cell: small
/// regions: [{name: north, data_centres: [north-1]}]
/// fleet: {entry_hosts: 1, workers: [{count: 2, cpu: 4, memory: 16GiB}]}
/// teams: [{name: ops, quota: {cpu: 8, memory: 32GiB}}]
/// ";
/// assert_eq!(parse(text).unwrap().teams[0].quota.cpu_milli, 8_000);
///
/// let diagnostics = parse(&text.replace("32GiB", "32GB")).unwrap_err();
/// assert_eq!(diagnostics.0[0].path, "teams[0].quota.memory");
/// assert_eq!(diagnostics.0[0].line, 5);
/// ```
pub fn parse(text: &str) -> Result<Document> {
    let checked = check(text);
    checked.document.ok_or(checked.diagnostics)
}

/// Checks a text and returns the document, if it is valid, with all errors and warnings.
pub fn check(text: &str) -> CheckResult {
    let (root, value) = match read_yaml(text) {
        Ok(read) => read,
        Err(diagnostic) => {
            return CheckResult {
                document: None,
                diagnostics: Diagnostics(vec![diagnostic]),
            };
        }
    };
    let mut diagnostics = schema::check_schema(&value);
    let document = convert_checked(&value, &mut diagnostics);
    for diagnostic in &mut diagnostics {
        diagnostic.line = locate::line_of(&root, &diagnostic.path);
    }
    diagnostics.sort_by_key(|diagnostic| diagnostic.line);
    let diagnostics = Diagnostics(diagnostics);
    let document = document.filter(|_| !diagnostics.has_errors());
    CheckResult {
        document,
        diagnostics,
    }
}

fn read_yaml(text: &str) -> std::result::Result<(marked_yaml::Node, Value), Diagnostic> {
    if text.len() > MAX_DOCUMENT_BYTES {
        let message = format!(
            "the text has {} bytes; at most {MAX_DOCUMENT_BYTES} are allowed",
            text.len()
        );
        return Err(Diagnostic::new("", message, "shorten the document"));
    }
    check_nesting(text)?;
    let hint = "fix the YAML syntax; anchors, tags and duplicate keys are not supported";
    let options = marked_yaml::LoaderOptions::default().error_on_duplicate_keys(true);
    let root = marked_yaml::parse_yaml_with_options(0, text, options).map_err(|err| {
        let line = syntax_line(&err);
        Diagnostic::new("", err.to_string(), hint).with_line(line)
    })?;
    let value = serde_norway::from_str(text).map_err(|err| {
        let line = err.location().map_or(0, |place| place.line());
        Diagnostic::new("", err.to_string(), hint).with_line(line)
    })?;
    Ok((root, value))
}

/// Rejects texts whose nesting would overflow the stack of a recursive parser.
fn check_nesting(text: &str) -> std::result::Result<(), Diagnostic> {
    let mut depth = 0usize;
    for (index, line) in text.lines().enumerate() {
        let indent = line.len() - line.trim_start().len();
        let dashes = line
            .trim_start()
            .split(' ')
            .take_while(|part| *part == "-")
            .count();
        let opened = line.bytes().filter(|b| matches!(b, b'[' | b'{')).count();
        let closed = line.bytes().filter(|b| matches!(b, b']' | b'}')).count();
        let deepest = indent + dashes + depth + opened;
        depth = (depth + opened).saturating_sub(closed);
        if deepest > MAX_NESTING {
            let message = "the text is nested too deeply";
            return Err(Diagnostic::new("", message, "reduce the nesting").with_line(index + 1));
        }
    }
    Ok(())
}

fn syntax_line(err: &marked_yaml::LoadError) -> usize {
    use marked_yaml::LoadError;
    match err {
        LoadError::TopLevelMustBeMapping(mark)
        | LoadError::TopLevelMustBeSequence(mark)
        | LoadError::UnexpectedAnchor(mark)
        | LoadError::MappingKeyMustBeScalar(mark)
        | LoadError::UnexpectedTag(mark)
        | LoadError::ScanError(mark, _) => mark.line(),
        LoadError::DuplicateKey(inner) => inner.key.span().start().map_or(0, |mark| mark.line()),
    }
}

/// Converts the parts that match the schema and checks their semantics, so that semantic errors
/// are reported even if other parts violate the schema.
fn convert_checked(value: &Value, diagnostics: &mut Vec<Diagnostic>) -> Option<Document> {
    let (repaired, replaced) = repair::with_placeholders(value, diagnostics);
    let text: border::DocumentText = match serde_json::from_value(repaired) {
        Ok(text) => text,
        // The schema is stricter than the types, so decoding can fail only after a schema error.
        Err(err) => {
            assert!(
                !diagnostics.is_empty(),
                "the generated types reject a text that the schema accepts: {err}"
            );
            return None;
        }
    };
    let mut found = Vec::new();
    let document = convert::document(&text, &mut found);
    found.extend(semantics::check_semantics(&document));
    found.retain(|diagnostic| !replaced.covers(&diagnostic.path));
    diagnostics.append(&mut found);
    Some(document)
}
