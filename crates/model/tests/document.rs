//! Checks document texts against the errors and warnings that they must produce.

use kspan_model::document::{
    Diagnostics, MAX_DOCUMENT_BYTES, Preset, SCHEMA, Severity, check, parse,
};
use proptest::{prelude::*, test_runner::RngSeed};

const HAUGLAND: &str = include_str!("../../../examples/haugland.yaml");
const CUARTO_OSCURO: &str = include_str!("../../../examples/cuarto-oscuro.yaml");

const SMALL: &str = "\
cell: small
regions:
  - {name: north, data_centres: [north-1]}
fleet:
  entry_hosts: 1
  workers: [{count: 2, cpu: 4, memory: 16GiB}]
teams:
  - name: ops
    quota: {cpu: 8, memory: 32GiB}
services:
  - name: web
    team: ops
    runners: 2
    task: {cpu: 1, memory: 1GiB}
    slots: 8
    connections: 64
    classes:
      - {name: read, idempotent: true, deadline: 1s}
batch:
  - {name: nightly, team: ops, tasks: 2, task: {cpu: 1, memory: 1GiB}, run_time: 5s}
";

#[test]
fn examples_are_valid_and_declare_the_expected_sizes() {
    let cases = [
        (HAUGLAND, 9, 50, "ledger"),
        (CUARTO_OSCURO, 8, 50, "booking"),
    ];
    for (text, hosts, runners, service) in cases {
        let checked = check(text);
        assert_eq!(checked.diagnostics, Diagnostics::default());
        let document = checked.document.expect("the example is valid");
        assert_eq!(document.regions.len(), 3);
        assert_eq!(document.fleet.entry_hosts.count, hosts);
        assert_eq!(document.fleet.workers[0].count, 50);
        assert_eq!(document.fleet.workers[0].per_rack, 8);
        let service = document.service(service).expect("the service is declared");
        assert_eq!(
            (service.runners, service.slots, service.connections),
            (runners, 8, 64)
        );
    }
    assert_eq!(parse(HAUGLAND).unwrap().policy.preset, Preset::PackingFirst);
    assert_eq!(
        parse(CUARTO_OSCURO).unwrap().policy.preset,
        Preset::WaitingFirst
    );
}

/// Guards against a field that the console shows without help, and for which an error says only
/// where the reference is.
#[test]
fn every_field_of_the_schema_has_a_description() {
    let schema: serde_json::Value = serde_json::from_str(SCHEMA).expect("the schema is JSON");
    let definitions = schema["definitions"].as_object().expect("definitions");
    let types = definitions
        .iter()
        .map(|(name, value)| (name.as_str(), value));
    for (type_name, value) in types.chain([("document", &schema)]) {
        let fields = value["properties"].as_object().into_iter().flatten();
        for (field, property) in fields {
            let reference = property["$ref"].as_str();
            let target = reference.and_then(|path| schema.pointer(path.trim_start_matches('#')));
            let description = property["description"]
                .as_str()
                .or_else(|| target?["description"].as_str());
            assert!(description.is_some(), "{type_name}.{field}");
        }
    }
}

/// Text to replace, its replacement, and the expected diagnostic: path, line, severity.
const CASES: [(&str, &str, &str, usize, Severity); 17] = [
    (
        "quota: {cpu: 8",
        "quota: {cpu: 8GB",
        "teams[0].quota.cpu",
        9,
        Severity::Error,
    ),
    (
        "memory: 32GiB",
        "memory: 32GB",
        "teams[0].quota.memory",
        9,
        Severity::Error,
    ),
    (
        "deadline: 1s",
        "deadline: 1",
        "services[0].classes[0].deadline",
        18,
        Severity::Error,
    ),
    (
        "deadline: 1s",
        "deadline: 0s",
        "services[0].classes[0].deadline",
        18,
        Severity::Error,
    ),
    (
        "    slots: 8",
        "    slot: 8",
        "services[0].slot",
        15,
        Severity::Error,
    ),
    (
        "    slots: 8\n",
        "",
        "services[0].slots",
        11,
        Severity::Error,
    ),
    (
        "slots: 8",
        "slots: 0",
        "services[0].slots",
        15,
        Severity::Error,
    ),
    (
        "connections: 64",
        "connections: 7",
        "services[0].connections",
        16,
        Severity::Error,
    ),
    (
        "runners: 2",
        "runners: -2",
        "services[0].runners",
        13,
        Severity::Error,
    ),
    (
        "runners: 2",
        "runners: 0",
        "services[0].runners",
        13,
        Severity::Warning,
    ),
    (
        "    team: ops",
        "    team: op",
        "services[0].team",
        12,
        Severity::Error,
    ),
    (
        "name: nightly",
        "name: web",
        "batch[0].name",
        20,
        Severity::Error,
    ),
    (
        "data_centres: [north-1]",
        "data_centres: [a, a]",
        "regions[0].data_centres[1]",
        3,
        Severity::Error,
    ),
    (
        "idempotent: true",
        "idempotent: false, hedge: true",
        "services[0].classes[0].hedge",
        18,
        Severity::Error,
    ),
    (
        "task: {cpu: 1, memory: 1GiB}, run",
        "task: {cpu: 5, memory: 1GiB}, run",
        "batch[0].task",
        20,
        Severity::Warning,
    ),
    (
        "quota: {cpu: 8, memory: 32GiB}",
        "quota: {cpu: 0, memory: 0GiB}\n    borrow: false",
        "batch[0].team",
        21,
        Severity::Warning,
    ),
    (
        "quota: {cpu: 8, memory: 32GiB}",
        "quota: {cpu: 0, memory: 0GiB}",
        "teams[0].quota",
        9,
        Severity::Warning,
    ),
];

#[test]
fn each_diagnostic_has_the_path_and_line_of_the_invalid_value() {
    for (from, to, path, line, severity) in CASES {
        let text = SMALL.replacen(from, to, 1);
        assert_ne!(text, SMALL, "{from} is in the text");
        let checked = check(&text);
        let found = checked
            .diagnostics
            .0
            .iter()
            .find(|diagnostic| diagnostic.path == path);
        let diagnostic = found.unwrap_or_else(|| panic!("{path} in {}", checked.diagnostics));
        assert_eq!(
            (diagnostic.line, diagnostic.severity),
            (line, severity),
            "{diagnostic}"
        );
        assert!(!diagnostic.hint.is_empty(), "{diagnostic}");
        assert_eq!(
            checked.document.is_none(),
            severity == Severity::Error,
            "{diagnostic}"
        );
    }
}

#[test]
fn all_errors_are_reported_in_one_pass() {
    let text = SMALL
        .replace("memory: 32GiB", "memory: 32GB")
        .replace("slots: 8", "slots: many")
        .replace("name: nightly", "name: web")
        .replace("tasks: 2", "task_count: 2")
        .replace("[north-1]", "[n, n]");
    let paths: Vec<_> = check(&text)
        .diagnostics
        .0
        .into_iter()
        .map(|diagnostic| diagnostic.path)
        .collect();
    for path in [
        "regions[0].data_centres[1]",
        "teams[0].quota.memory",
        "services[0].slots",
        "batch[0].name",
        "batch[0].task_count",
        "batch[0].tasks",
    ] {
        assert!(
            paths.iter().any(|found| found == path),
            "{path} in {paths:?}"
        );
    }
}

#[test]
fn an_error_message_includes_the_expected_format() {
    let diagnostics = parse(&SMALL.replace("32GiB", "32GB")).unwrap_err();
    insta::assert_snapshot!(diagnostics.to_string(), @r#"line 9: error: teams[0].quota.memory: "32GB" does not match the expected format (Memory with its unit, such as 512MiB or 8GiB.)"#);
}

#[test]
fn texts_that_are_not_documents_are_rejected_with_a_diagnostic() {
    let deep = "[".repeat(100_000);
    let long = format!("cell: {}", "x".repeat(MAX_DOCUMENT_BYTES));
    let dashes = "- ".repeat(5_000);
    let cases = [
        "",
        "[]",
        "42",
        "cell: [",
        "a: &x 1\nb: *x",
        "cell: a\ncell: b",
        &deep,
        &long,
        &dashes,
    ];
    for text in cases {
        let checked = check(text);
        assert!(checked.document.is_none());
        assert!(!checked.diagnostics.0.is_empty());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn checking_arbitrary_text_does_not_panic(text in "\\PC{0,200}") {
        let _ = check(&text);
    }

    #[test]
    fn checking_a_damaged_example_does_not_panic(
        start in 0usize..2_000, removed in 0usize..40, inserted in "[ -~\n]{0,12}"
    ) {
        let mut chars: Vec<char> = HAUGLAND.chars().collect();
        let start = start.min(chars.len());
        let end = (start + removed).min(chars.len());
        chars.splice(start..end, inserted.chars());
        let text: String = chars.into_iter().collect();
        let checked = check(&text);
        prop_assert_eq!(checked.document.is_none(), checked.diagnostics.has_errors());
    }
}
