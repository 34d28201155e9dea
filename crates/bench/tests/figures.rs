//! Tests of the comparison and formatting of figures; they measure no time.

use kspan_bench::{Comparison, Figure, Report};

fn figure(measured: f64, comparison: Comparison) -> Figure {
    Figure::new("area.quantity", measured, "ms", comparison, 10.0)
}

#[test]
fn a_target_is_met_on_one_side_and_never_by_nan() {
    for (measured, at_most, at_least) in [
        (9.0, true, false),
        (10.0, true, true),
        (11.0, false, true),
        (f64::NAN, false, false),
    ] {
        assert_eq!(figure(measured, Comparison::AtMost).is_met(), at_most);
        assert_eq!(figure(measured, Comparison::AtLeast).is_met(), at_least);
    }
}

#[test]
fn report_misses_returns_only_figures_that_miss_their_target() {
    let report = Report {
        figures: vec![
            figure(9.0, Comparison::AtMost),
            figure(11.0, Comparison::AtMost),
        ],
    };
    let misses = report.misses();
    assert_eq!(misses.len(), 1);
    assert!(misses[0].line().starts_with("MISSED"));
}

#[test]
fn with_baseline_adds_the_ratio_to_the_figure_and_its_line() {
    let figure = figure(5.0, Comparison::AtMost).with_baseline("first-fit", 20.0);
    assert_eq!(figure.baseline_ratio, Some(0.25));
    assert!(figure.line().contains("x0.250 of first-fit"));
}
