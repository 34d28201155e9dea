use proptest::{prelude::*, sample::Index, test_runner::RngSeed};

use super::*;

const VALID: &str = "node: h-1
address: 127.0.0.1
data_centre: a
callers: 127.0.0.1:80
ready: 127.0.0.1:81
admin: 127.0.0.1:82
internal_port: 83
store: 127.0.0.1:84
max_lease_ms: 8000
spread_factor: 3
keep_ended_s: 600
config_apply_ms: 2500
grace_s: 10
";

/// Computes what the program computes from the settings.
fn use_settings(cfg: &Settings) {
    let _ = std::time::Duration::from_secs_f64(cfg.grace_s);
    let _ = cfg.processors_milli();
    assert!(cfg.keep_ended_s.checked_mul(1_250).is_some());
    assert!(cfg.config_apply_ms.checked_mul(100).is_some());
}

/// Guards against a setting that ends the process when it is used, long after the start: an
/// infinite grace period panicked at the shutdown, before the cell was handed over.
#[test]
fn values_out_of_range_are_rejected() {
    let table = [
        ("grace_s: 10", "grace_s: .inf", "grace_s"),
        ("grace_s: 10", "grace_s: 1e300", "grace_s"),
        ("grace_s: 10", "grace_s: .nan", "grace_s"),
        ("grace_s: 10", "grace_s: -1", "grace_s"),
        ("spread_factor: 3", "spread_factor: .inf", "spread_factor"),
        (
            "keep_ended_s: 600",
            "keep_ended_s: 18446744073709551615",
            "keep_ended_s",
        ),
        (
            "config_apply_ms: 2500",
            "config_apply_ms: 18446744073709551615",
            "config_apply_ms",
        ),
        ("node: h-1", "node: h-1\nprocessors: .inf", "processors"),
        ("node: h-1", "node: h-1\ngang_wait_ms: 999", "gang_wait_ms"),
        (
            "node: h-1",
            "node: h-1\ngang_wait_ms: 3600001",
            "gang_wait_ms",
        ),
        ("max_lease_ms: 8000", "max_lease_ms: 10", "max_lease_ms"),
        ("node: h-1", "node: h-1\nmemory_mb: 63", "memory_mb"),
        ("node: h-1", "node: h-1\nmemory_mb: 1000001", "memory_mb"),
        (
            "node: h-1",
            "node: h-1\nmax_descriptors: 255",
            "max_descriptors",
        ),
        (
            "node: h-1",
            "node: h-1\nmax_descriptors: 1000001",
            "max_descriptors",
        ),
    ];
    assert!(Settings::parse(VALID).is_ok());
    for (valid, invalid, name) in table {
        let text = VALID.replace(valid, invalid);
        let err = Settings::parse(&text).expect_err(invalid);
        assert!(err.to_string().starts_with(name), "{invalid}: {err}");
    }
}

/// Guards against a host that doesn't state its limits and gets a process without any.
#[test]
fn hosts_without_stated_limits_have_the_limits_of_the_smallest() {
    for text in [
        VALID.to_owned(),
        format!("{VALID}memory_mb: \nmax_descriptors: \n"),
    ] {
        let cfg = Settings::parse(&text).expect("valid settings");
        assert_eq!((cfg.memory_mb(), cfg.max_descriptors()), (160, 4_100));
    }
    let text = format!("{VALID}memory_mb: 260\nmax_descriptors: 2000\n");
    let cfg = Settings::parse(&text).expect("valid settings");
    assert_eq!((cfg.memory_mb(), cfg.max_descriptors()), (260, 2_000));
}

/// Guards against recursion as deep as a file asks for.
#[test]
fn deeply_nested_files_are_rejected() {
    for depth in [100, 10_000] {
        let text = format!("node: {}{}", "[".repeat(depth), "]".repeat(depth));
        assert!(Settings::parse(&text).is_err(), "{depth}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_000,
        rng_seed: RngSeed::Fixed(20_261_207),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a file that ends `kspan-cell --check` or a running process with a panic.
    #[test]
    fn altered_files_are_rejected_or_usable(
        cut in any::<Index>(),
        lines in prop::collection::vec((any::<Index>(), prop::sample::select(vec![
            ".inf", "-.inf", ".nan", "1e308", "-1", "0", "18446744073709551615", "null", "[]", "{a: 1}", "\"\"",
            "!!binary x", "&a *a", "~", "0x10",
        ])), 0..4),
        flips in prop::collection::vec((any::<Index>(), any::<u8>()), 0..3),
    ) {
        let mut rows: Vec<String> = VALID.lines().map(str::to_owned).collect();
        for (at, value) in lines {
            let row = &mut rows[at.index(VALID.lines().count())];
            let name = row.split(':').next().unwrap_or_default().to_owned();
            *row = format!("{name}: {value}");
        }
        let text = rows.join("\n");
        let mut bytes = text.into_bytes();
        for (at, byte) in flips {
            let at = at.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len() * 2) + 1);
        if let Ok(cfg) = Settings::parse(&String::from_utf8_lossy(&bytes)) {
            use_settings(&cfg);
        }
    }
}
