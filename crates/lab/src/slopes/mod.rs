//! Measures how the cost of each role grows with the cell.
//!
//! Runs the real programs at several cell sizes and fits lines to their resource usage. The
//! capacity estimates extrapolate these lines.

pub mod capacity;
pub mod fit;

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use serde::Serialize;
use serde_json::Value;

use self::fit::{Line, Point, fit};
use crate::error::{LabError, Result};

/// Entry hosts in series that vary another parameter: one in each of the cell's three regions.
const BASE_HOSTS: u32 = 3;

/// Number of shards of every measured cell.
const SHARDS: f64 = 3.0;

/// Workers in series that vary another parameter.
const BASE_WORKERS: u32 = 48;

/// Requests per second in series that vary another parameter.
const BASE_RATE: f64 = 60.0;

/// Jobs per second in series that vary another parameter.
const BASE_JOBS: f64 = 0.5;

/// Tasks per job of the batch workload.
const TASKS_PER_JOB: u32 = 4;

/// Size and load of a cell to measure.
#[derive(Clone, Copy, Debug, Serialize)]
struct CellSize {
    hosts: u32,
    workers: u32,
    rate: f64,
    jobs: f64,
}

/// A series of cells that differ in one parameter.
struct Series {
    name: &'static str,
    unit: &'static str,
    sizes: &'static [CellSize],
    /// Returns the value of the parameter, in `unit`.
    x: fn(&CellSize) -> f64,
}

const fn cell_with_load(workers: u32, rate: f64, jobs: f64) -> CellSize {
    CellSize {
        hosts: BASE_HOSTS,
        workers,
        rate,
        jobs,
    }
}

const fn cell_with_hosts(hosts: u32) -> CellSize {
    CellSize {
        hosts,
        workers: BASE_WORKERS,
        rate: BASE_RATE,
        jobs: BASE_JOBS,
    }
}

const SERIES: &[Series] = &[
    Series {
        name: "members",
        unit: "member of the view",
        sizes: &[
            cell_with_hosts(3),
            cell_with_hosts(6),
            cell_with_hosts(9),
            cell_with_hosts(12),
        ],
        x: |size| f64::from(2 * size.hosts),
    },
    Series {
        name: "workers",
        unit: "worker with a runner, of one shard",
        sizes: &[
            cell_with_load(24, BASE_RATE, BASE_JOBS),
            cell_with_load(48, BASE_RATE, BASE_JOBS),
            cell_with_load(96, BASE_RATE, BASE_JOBS),
            cell_with_load(192, BASE_RATE, BASE_JOBS),
        ],
        x: |size| f64::from(size.workers) / SHARDS,
    },
    Series {
        name: "requests",
        unit: "request a second, of one router",
        sizes: &[
            cell_with_load(BASE_WORKERS, 60.0, BASE_JOBS),
            cell_with_load(BASE_WORKERS, 300.0, BASE_JOBS),
            cell_with_load(BASE_WORKERS, 600.0, BASE_JOBS),
            cell_with_load(BASE_WORKERS, 1_200.0, BASE_JOBS),
        ],
        x: |size| size.rate / f64::from(size.hosts),
    },
    Series {
        name: "starts",
        unit: "task start a second, of one shard",
        sizes: &[
            cell_with_load(BASE_WORKERS, BASE_RATE, 0.5),
            cell_with_load(BASE_WORKERS, BASE_RATE, 3.0),
            cell_with_load(BASE_WORKERS, BASE_RATE, 6.0),
            cell_with_load(BASE_WORKERS, BASE_RATE, 12.0),
        ],
        x: |size| size.jobs * f64::from(TASKS_PER_JOB) / SHARDS,
    },
];

/// Roles, as the report names them.
const ROLES: [&str; 2] = ["router", "scheduler"];

/// Quantities measured for each role: field of the report and unit.
const QUANTITIES: [(&str, &str); 3] = [
    ("cpu_percent", "% of a core"),
    ("memory_mb", "MB"),
    ("bytes_per_second", "B/s"),
];

/// Growth of one role's cost in one series.
#[derive(Clone, Debug, Serialize)]
pub struct Slope {
    /// Name of the series.
    pub series: &'static str,
    /// Unit of the parameter that the series varies.
    pub per: &'static str,
    /// Role.
    pub role: &'static str,
    /// Measured quantity.
    pub quantity: &'static str,
    /// Unit of the measured quantity.
    pub unit: &'static str,
    /// Measured points; `x` is the value of the parameter in the unit `per`.
    pub points: Vec<Point>,
    /// Fitted line; `None` if the points do not determine one.
    pub line: Option<Line>,
}

/// Measures all series and writes `slopes.json` and `slopes.md` to `dir`.
///
/// # Errors
///
/// Returns an error if a cell could not be measured or a file can't be written.
///
/// # Panics
///
/// Panics if the slopes can't be serialised to JSON.
pub fn measure(dir: &Path, seconds: u64, seed: u64) -> Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    for series in SERIES {
        let mut reports = Vec::new();
        for (index, size) in series.sizes.iter().enumerate() {
            eprintln!("slopes: {} {size:?}", series.name);
            let dir = dir.join(format!("{}-{index}", series.name));
            reports.push(((series.x)(size), run_cell(size, &dir, seconds, seed)?));
        }
        slopes.extend(fit_series(series, &reports));
    }
    let json = serde_json::to_string_pretty(&slopes).expect("slopes are plain data");
    write_file(&dir.join("slopes.json"), &(json + "\n"))?;
    let page = format!("{}\n{}", table(&slopes), capacity::table(&slopes));
    write_file(&dir.join("slopes.md"), &page)?;
    Ok(slopes)
}

/// Returns the slopes as a Markdown table.
pub fn table(slopes: &[Slope]) -> String {
    let mut lines = vec![
        "| role | what | at zero | slope | per |".to_owned(),
        "|---|---|---|---|---|".to_owned(),
    ];
    for slope in slopes {
        let Some(line) = slope.line else { continue };
        let spread = line
            .spread
            .map_or("?".to_owned(), |spread| format!("{spread:.4}"));
        lines.push(format!(
            "| {} | {} | {:.3} {} | {:.4} ± {spread} | {} |",
            slope.role, slope.quantity, line.intercept, slope.unit, line.slope, slope.per
        ));
    }
    lines.join("\n") + "\n"
}

fn fit_series(series: &Series, reports: &[(f64, Value)]) -> Vec<Slope> {
    let mut slopes = Vec::new();
    for role in ROLES {
        for (quantity, unit) in QUANTITIES {
            let measured = |report: &Value| report["control"]["roles"][role][quantity].as_f64();
            let points: Vec<Point> = reports
                .iter()
                .filter_map(|(x, report)| {
                    let y = measured(report)?;
                    Some(Point { x: *x, y })
                })
                .collect();
            slopes.push(Slope {
                series: series.name,
                per: series.unit,
                role,
                quantity,
                unit,
                line: fit(&points),
                points,
            });
        }
    }
    slopes
}

/// Runs one cell in a separate process, so that no threads remain from an earlier one.
fn run_cell(size: &CellSize, dir: &Path, seconds: u64, seed: u64) -> Result<Value> {
    fs::create_dir_all(dir).map_err(LabError::io(dir.display().to_string()))?;
    let deployment: PathBuf = dir.join("deployment.yaml");
    write_file(&deployment, &document(size))?;
    let program = std::env::current_exe().map_err(LabError::io("finding the lab's program"))?;
    let output = Command::new(program)
        .arg("run")
        .arg("--deployment")
        .arg(&deployment)
        .args(["--seconds", &seconds.to_string()])
        .args(["--seed", &seed.to_string()])
        .args(["--rate", &size.rate.to_string()])
        .args(["--jobs", &size.jobs.to_string()])
        .arg("--report")
        .arg(dir)
        // The programs have been built already; without `CARGO` they are not built again.
        .env_remove("CARGO")
        .output()
        .map_err(LabError::io("starting the lab"))?;
    let path = dir.join("report.json");
    let text = fs::read_to_string(&path).map_err(|_| {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        LabError::NotReady(format!("{size:?} could not be measured: {stderr}"))
    })?;
    if !output.status.success() {
        eprintln!("slopes: {size:?} broke a promise; see {}", path.display());
    }
    serde_json::from_str(&text)
        .map_err(|err| LabError::NotReady(format!("{}: {err}", path.display())))
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    fs::write(path, text).map_err(LabError::io(path.display().to_string()))
}

/// Returns the document of a simple cell with one runner per worker and one batch workload.
fn document(size: &CellSize) -> String {
    let CellSize { hosts, workers, .. } = size;
    format!(
        "cell: slopes
regions:
  - {{name: one, data_centres: [one-1]}}
  - {{name: two, data_centres: [two-1]}}
  - {{name: three, data_centres: [three-1]}}
fleet:
  entry_hosts: {hosts}
  workers:
    - {{count: {workers}, cpu: 32, memory: 128GiB, per_rack: 8}}
  delays: {{data_centre: 1ms, region: 8ms, caller: 3ms}}
teams:
  - {{name: team, quota: {{cpu: 10000, memory: 40000GiB}}, weight: 1}}
policy:
  preset: packing-first
services:
  - name: service
    team: team
    runners: {workers}
    task: {{cpu: 8, memory: 32GiB}}
    spread: data-centre
    slots: 8
    connections: 64
    retry_budget: 0.1
    classes:
      - {{name: once, idempotent: false, deadline: 5s}}
      - {{name: often, idempotent: true, deadline: 5s}}
batch:
  - name: batch
    team: team
    tasks: {TASKS_PER_JOB}
    task: {{cpu: 1, memory: 2GiB}}
    run_time: 2s
    retries: 3
gangs: []
"
    )
}
