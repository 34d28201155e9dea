//! Semantic checks that the schema can't express: unique names, references, and work that can
//! never run.

use std::collections::HashMap;

use crate::{
    Name, Resources,
    document::{Diagnostic, Document, Service},
};

/// Returns all semantic errors and warnings.
pub(super) fn check_semantics(document: &Document) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_names(document, &mut diagnostics);
    check_references(document, &mut diagnostics);
    check_services(document, &mut diagnostics);
    check_capacity(document, &mut diagnostics);
    check_teams(document, &mut diagnostics);
    diagnostics
}

/// The properties of a service, batch or gang workload that the checks need.
struct Workload<'a> {
    path: String,
    team: &'a Name,
    name: &'a Name,
    regions: &'a [Name],
    size: Resources,
    /// Number of tasks that must run at the same time.
    concurrent_tasks: u32,
}

fn workloads(document: &Document) -> Vec<Workload<'_>> {
    let services = document.services.iter().enumerate().map(|(i, w)| Workload {
        path: format!("services[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        concurrent_tasks: 1,
    });
    let batch = document.batch.iter().enumerate().map(|(i, w)| Workload {
        path: format!("batch[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        concurrent_tasks: 1,
    });
    let gangs = document.gangs.iter().enumerate().map(|(i, w)| Workload {
        path: format!("gangs[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        concurrent_tasks: w.tasks,
    });
    services.chain(batch).chain(gangs).collect()
}

fn check_names(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    let regions = document.regions.iter().enumerate();
    check_unique(
        regions.map(|(i, r)| (format!("regions[{i}].name"), &r.name)),
        diagnostics,
    );
    let data_centres = document.regions.iter().enumerate().flat_map(|(i, region)| {
        let names = region.data_centres.iter().enumerate();
        names.map(move |(j, name)| (format!("regions[{i}].data_centres[{j}]"), name))
    });
    check_unique(data_centres, diagnostics);
    let teams = document.teams.iter().enumerate();
    check_unique(
        teams.map(|(i, t)| (format!("teams[{i}].name"), &t.name)),
        diagnostics,
    );
    let workloads = workloads(document);
    check_unique(
        workloads
            .iter()
            .map(|w| (format!("{}.name", w.path), w.name)),
        diagnostics,
    );
    for (i, service) in document.services.iter().enumerate() {
        let classes = service.classes.iter().enumerate();
        let paths = classes.map(|(j, c)| (format!("services[{i}].classes[{j}].name"), &c.name));
        check_unique(paths, diagnostics);
    }
}

fn check_unique<'a>(
    names: impl Iterator<Item = (String, &'a Name)>,
    diagnostics: &mut Vec<Diagnostic>,
) {
    let mut seen: HashMap<&Name, String> = HashMap::new();
    for (path, name) in names {
        if let Some(first) = seen.get(name) {
            let message = format!("the name `{name}` is already used by {first}");
            diagnostics.push(Diagnostic::new(path, message, "choose a unique name"));
        } else {
            seen.insert(name, path);
        }
    }
}

fn check_references(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    for work in workloads(document) {
        if document.team(work.team).is_none() {
            let known = list_known_names(document.teams.iter().map(|team| &team.name));
            let message = format!("team `{}` is not declared", work.team);
            diagnostics.push(Diagnostic::new(
                format!("{}.team", work.path),
                message,
                known,
            ));
        }
        for (index, region) in work.regions.iter().enumerate() {
            if document.regions.iter().all(|known| known.name != *region) {
                let known = list_known_names(document.regions.iter().map(|region| &region.name));
                let message = format!("region `{region}` is not declared");
                diagnostics.push(Diagnostic::new(
                    format!("{}.regions[{index}]", work.path),
                    message,
                    known,
                ));
            }
        }
    }
}

fn list_known_names<'a>(names: impl Iterator<Item = &'a Name>) -> String {
    format!(
        "known: {}",
        names.map(Name::as_str).collect::<Vec<_>>().join(", ")
    )
}

fn check_services(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    for (i, service) in document.services.iter().enumerate() {
        let path = format!("services[{i}]");
        check_classes(&path, service, diagnostics);
        if service.connections < service.slots {
            let message = "fewer connections than slots: some slots can never be used";
            let hint = "allow at least one connection for each slot";
            diagnostics.push(Diagnostic::new(
                format!("{path}.connections"),
                message,
                hint,
            ));
        }
        if service.runners == 0 {
            let message = "the service has no runners: every request is rejected as not-run";
            let hint = "set `runners` to at least 1";
            diagnostics
                .push(Diagnostic::new(format!("{path}.runners"), message, hint).into_warning());
        }
    }
}

fn check_classes(path: &str, service: &Service, diagnostics: &mut Vec<Diagnostic>) {
    for (j, class) in service.classes.iter().enumerate() {
        let path = format!("{path}.classes[{j}]");
        if class.hedge && !class.idempotent {
            let message = "hedging requires an idempotent request class";
            diagnostics.push(Diagnostic::new(
                format!("{path}.hedge"),
                message,
                "remove `hedge`, or set `idempotent` if repeated requests are harmless",
            ));
        }
        if class.deadline.0 == 0 {
            let message = "a deadline of zero rejects every request";
            diagnostics.push(Diagnostic::new(
                format!("{path}.deadline"),
                message,
                "set a deadline above zero",
            ));
        }
    }
}

fn check_capacity(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    for work in workloads(document) {
        if work.size.is_zero() {
            let message =
                "a task must request a processor, memory or accelerator amount above zero";
            diagnostics.push(Diagnostic::new(
                format!("{}.task", work.path),
                message,
                "set `cpu` and `memory` to what the task needs",
            ));
        }
        let fits = document
            .fleet
            .workers
            .iter()
            .any(|group| work.size.fits_in(group.capacity));
        if !fits {
            let message = format!(
                "no worker in `fleet.workers` is large enough for {}",
                work.size
            );
            let hint = "make the task smaller, or add workers to `fleet.workers`";
            diagnostics
                .push(Diagnostic::new(format!("{}.task", work.path), message, hint).into_warning());
        }
        check_quota(document, &work, diagnostics);
    }
}

/// Warns of teams without a quota, whose tasks run only on what other teams leave unused.
fn check_teams(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    let without_quota = document.teams.iter().enumerate();
    for (number, team) in without_quota.filter(|(_, team)| team.quota.is_zero()) {
        let message = format!("the quota of team `{}` is zero", team.name);
        let hint = "set `cpu`, `memory` or `accelerators` to what the team may use at once";
        let path = format!("teams[{number}].quota");
        diagnostics.push(Diagnostic::new(path, message, hint).into_warning());
    }
}

fn check_quota(document: &Document, work: &Workload<'_>, diagnostics: &mut Vec<Diagnostic>) {
    let Some(team) = document.team(work.team) else {
        return;
    };
    let demand = work.size.saturating_mul(u64::from(work.concurrent_tasks));
    if !team.borrow && !demand.fits_in(team.quota) {
        let message = format!(
            "team `{}` needs {demand} at once, which exceeds its quota",
            team.name
        );
        let hint = "raise the team's quota, or set `borrow` to true";
        diagnostics
            .push(Diagnostic::new(format!("{}.team", work.path), message, hint).into_warning());
    }
}
