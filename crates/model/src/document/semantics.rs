//! Checks of a document's meaning: names, references, and work that can never run.

use std::collections::HashMap;

use crate::{
    Name, Resources,
    document::{Diagnostic, Document, Service},
};

/// Returns every fault of meaning.
pub(super) fn check_semantics(document: &Document) -> Vec<Diagnostic> {
    let mut diagnostics = Vec::new();
    check_names(document, &mut diagnostics);
    check_references(document, &mut diagnostics);
    check_services(document, &mut diagnostics);
    check_work_fits(document, &mut diagnostics);
    diagnostics
}

/// A workload of any kind, as far as checks care.
struct Workload<'a> {
    path: String,
    team: &'a Name,
    name: &'a Name,
    regions: &'a [Name],
    size: Resources,
    /// Tasks that must run at once.
    at_once: u32,
}

fn workloads(document: &Document) -> Vec<Workload<'_>> {
    let services = document.services.iter().enumerate().map(|(i, w)| Workload {
        path: format!("services[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        at_once: 1,
    });
    let batch = document.batch.iter().enumerate().map(|(i, w)| Workload {
        path: format!("batch[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        at_once: 1,
    });
    let gangs = document.gangs.iter().enumerate().map(|(i, w)| Workload {
        path: format!("gangs[{i}]"),
        team: &w.team,
        name: &w.name,
        regions: &w.regions,
        size: w.task.size,
        at_once: w.tasks,
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
            let message = format!("the name `{name}` is taken by {first}");
            diagnostics.push(Diagnostic::new(path, message, "choose another name"));
        } else {
            seen.insert(name, path);
        }
    }
}

fn check_references(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    for work in workloads(document) {
        if document.team(work.team).is_none() {
            let known = list(document.teams.iter().map(|team| &team.name));
            let message = format!("there is no team `{}`", work.team);
            diagnostics.push(Diagnostic::new(
                format!("{}.team", work.path),
                message,
                known,
            ));
        }
        for (index, region) in work.regions.iter().enumerate() {
            if document.regions.iter().all(|known| known.name != *region) {
                let known = list(document.regions.iter().map(|region| &region.name));
                let message = format!("there is no region `{region}`");
                diagnostics.push(Diagnostic::new(
                    format!("{}.regions[{index}]", work.path),
                    message,
                    known,
                ));
            }
        }
    }
}

fn list<'a>(names: impl Iterator<Item = &'a Name>) -> String {
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
            let message = "fewer connections than slots leave slots unused";
            let hint = "allow at least one connection for each slot";
            diagnostics.push(Diagnostic::new(
                format!("{path}.connections"),
                message,
                hint,
            ));
        }
        if service.runners == 0 {
            let message = "no runners: every request is answered not-run";
            let hint = "set the number of runners";
            diagnostics
                .push(Diagnostic::new(format!("{path}.runners"), message, hint).into_warning());
        }
    }
}

fn check_classes(path: &str, service: &Service, diagnostics: &mut Vec<Diagnostic>) {
    for (j, class) in service.classes.iter().enumerate() {
        let path = format!("{path}.classes[{j}]");
        if class.hedge && !class.idempotent {
            let message = "a class that is not idempotent cannot be hedged";
            diagnostics.push(Diagnostic::new(
                format!("{path}.hedge"),
                message,
                "remove `hedge`",
            ));
        }
        if class.deadline.0 == 0 {
            let message = "a deadline of zero refuses every request";
            diagnostics.push(Diagnostic::new(
                format!("{path}.deadline"),
                message,
                "allow some time",
            ));
        }
    }
}

fn check_work_fits(document: &Document, diagnostics: &mut Vec<Diagnostic>) {
    for work in workloads(document) {
        if work.size.is_zero() {
            let message = "a task that needs nothing cannot be placed";
            diagnostics.push(Diagnostic::new(
                format!("{}.task", work.path),
                message,
                "declare its size",
            ));
        }
        let fits = document
            .fleet
            .workers
            .iter()
            .any(|group| work.size.fits_in(group.capacity));
        if !fits {
            let message = format!("no worker of the fleet can ever hold {}", work.size);
            let hint = "make the task smaller, or add workers to `fleet.workers`";
            diagnostics
                .push(Diagnostic::new(format!("{}.task", work.path), message, hint).into_warning());
        }
        check_quota(document, &work, diagnostics);
    }
}

fn check_quota(document: &Document, work: &Workload<'_>, diagnostics: &mut Vec<Diagnostic>) {
    let Some(team) = document.team(work.team) else {
        return;
    };
    let wanted = work.size.saturating_mul(u64::from(work.at_once));
    if !team.borrow && !wanted.fits_in(team.quota) {
        let message = format!("team `{}` may never hold {wanted} at once", team.name);
        let hint = "raise the team's quota, or let it borrow";
        diagnostics
            .push(Diagnostic::new(format!("{}.team", work.path), message, hint).into_warning());
    }
}
