//! Forms and drafts: a document that is sent as form fields must be rebuilt unchanged.

use kspan_console::{Draft, Edit, Field, FieldKind, build_fields};
use kspan_model::document::{check, parse};
use proptest::{prelude::*, test_runner::RngSeed};

const EXAMPLES: [&str; 2] = [
    include_str!("../../../examples/haugland.yaml"),
    include_str!("../../../examples/cuarto-oscuro.yaml"),
];

/// Returns the fields as a browser submits them.
fn submitted_fields(fields: &[Field]) -> Vec<(String, String)> {
    let mut pairs = Vec::new();
    for field in fields {
        match &field.kind {
            FieldKind::Text(text) => pairs.push((field.path.clone(), text.clone())),
            FieldKind::Choice { selected, .. } => {
                pairs.push((field.path.clone(), selected.clone()))
            }
            FieldKind::Group(fields) => pairs.extend(submitted_fields(fields)),
            FieldKind::List { items, .. } => {
                for item in items {
                    if matches!(item.kind, FieldKind::Group(_)) {
                        pairs.push((item.path.clone(), String::new()));
                    }
                    pairs.extend(submitted_fields(std::slice::from_ref(item)));
                }
            }
        }
    }
    pairs
}

fn resubmit(draft: &Draft) -> Draft {
    let pairs = submitted_fields(&build_fields(&draft.value, &[]));
    Draft::from_fields(
        pairs
            .iter()
            .map(|(path, text)| (path.as_str(), text.as_str())),
    )
}

#[test]
fn a_document_is_unchanged_by_submitting_its_form() {
    for text in EXAMPLES {
        let draft = resubmit(&Draft::from_text(text));
        assert_eq!(parse(&draft.to_text()), parse(text));
    }
}

#[test]
fn buttons_add_and_remove_items() {
    let mut draft = Draft::from_text(EXAMPLES[0]);
    let teams = |draft: &Draft| draft.value["teams"].as_array().map_or(0, Vec::len);
    draft.apply(&Edit::from_button("add:teams").expect("a known path"));
    draft = resubmit(&draft);
    assert_eq!(teams(&draft), 4);
    assert!(check(&draft.to_text()).diagnostics.has_errors());
    draft.apply(&Edit::from_button("remove:teams[3]").expect("a known path"));
    assert_eq!(parse(&draft.to_text()), parse(EXAMPLES[0]));
    draft.apply(&Edit::from_button("add:regions[1].data_centres").expect("a known path"));
    assert_eq!(
        draft.value["regions"][1]["data_centres"]
            .as_array()
            .map(Vec::len),
        Some(2)
    );
}

#[test]
fn buttons_with_unknown_paths_or_verbs_are_rejected() {
    for button in [
        "",
        "add",
        "add:",
        "add:nothing",
        "remove:teams[0].frob",
        "drop:teams[0]",
    ] {
        assert_eq!(Edit::from_button(button), None, "{button}");
    }
}

#[test]
fn an_error_is_attached_to_its_field() {
    let text = EXAMPLES[0].replace("deadline: 2s", "deadline: soon");
    let diagnostics = check(&text).diagnostics.0;
    let fields = build_fields(&Draft::from_text(&text).value, &diagnostics);
    let found = find_field(&fields, "services[0].classes[1].deadline").expect("the field is there");
    assert_eq!(found.diagnostics.len(), 1, "{found:?}");
}

fn find_field<'a>(fields: &'a [Field], path: &str) -> Option<&'a Field> {
    fields.iter().find_map(|field| {
        let children = match &field.kind {
            FieldKind::Group(fields) => fields.as_slice(),
            FieldKind::List { items, .. } => items.as_slice(),
            FieldKind::Text(_) | FieldKind::Choice { .. } => &[],
        };
        if field.path == path {
            Some(field)
        } else {
            find_field(children, path)
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_fields_make_a_draft_of_bounded_size(
        pairs in prop::collection::vec(("[a-z_]{1,8}(\\[[0-9]{1,12}\\])?(\\.[a-z_]{1,8})?", "\\PC{0,12}"), 0..20)
    ) {
        let draft = Draft::from_fields(pairs.iter().map(|(p, t)| (p.as_str(), t.as_str())));
        prop_assert!(draft.to_text().len() < 4_096);
    }

    #[test]
    fn a_known_field_with_any_index_and_text_makes_a_draft_of_bounded_size(
        index in 0usize..60_000, text in "\\PC{0,24}"
    ) {
        let path = format!("services[{index}].classes[0].deadline");
        let draft = Draft::from_fields([(path.as_str(), text.as_str())]);
        prop_assert!(draft.to_text().len() < 4_096);
    }
}
