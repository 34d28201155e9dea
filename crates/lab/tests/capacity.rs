//! Tests of the extrapolation to the design size.

use kspan_lab::slopes::{
    Slope,
    capacity::{Load, extrapolate, table},
    fit::{Point, fit},
};

fn slope(series: &'static str, role: &'static str, quantity: &'static str, per: f64) -> Slope {
    let points = vec![
        Point { x: 10.0, y: 5.0 },
        Point {
            x: 20.0,
            y: 5.0 + 10.0 * per,
        },
    ];
    let line = fit(&points);
    Slope {
        series,
        per: "thing",
        role,
        quantity,
        unit: "unit",
        points,
        line,
    }
}

#[test]
fn load_is_that_of_the_host_with_most_shards() {
    let cases = [(9.0, 18.0, 2.0), (14.0, 28.0, 1.0), (28.0, 56.0, 1.0)];
    for (hosts, members, owned) in cases {
        let load = Load::for_hosts(hosts);
        assert!((load.members - members).abs() < 1e-9);
        assert!((load.workers - owned * 7_600.0 / 14.0).abs() < 1e-6);
        assert!((load.starts - owned * 3_100.0 / 14.0).abs() < 1e-6);
    }
}

#[test]
fn growth_of_all_series_is_added_to_one_base() {
    let slopes = [
        slope("members", "router", "cpu_percent", 0.5),
        slope("workers", "router", "cpu_percent", 0.25),
        slope("requests", "router", "cpu_percent", 9.0),
    ];
    let load = Load {
        members: 14.0,
        workers: 30.0,
        starts: 0.0,
    };
    let total = extrapolate(&slopes, "router", "cpu_percent", load)
        .expect("all slopes of the router exist");
    assert!(
        (total - (5.0 + 0.5 * 4.0 + 0.25 * 20.0)).abs() < 1e-9,
        "{total}"
    );
    assert_eq!(extrapolate(&slopes, "scheduler", "cpu_percent", load), None);
}

#[test]
fn value_above_its_budget_is_marked() {
    let slopes = ["router", "scheduler"].map(|role| slope("members", role, "cpu_percent", 0.5));
    let text = table(&slopes);
    assert!(
        text.contains("| 9 | cpu_percent | 9.0 | 9.0 | 18.0 | 3 | **no** |"),
        "{text}"
    );
}
