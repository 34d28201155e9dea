//! HTTP handlers of the console's pages.

#[cfg(test)]
mod tests;

use askama::Template;
use kspan_model::{
    Name,
    document::{Diagnostic, check},
};
use kspan_operator::{Change, Error, PublishOutcome, diff};
use ntex::{
    http::{Response, StatusCode, header},
    web::{self, HttpResponse, types},
};

use crate::{
    asset::STYLE,
    cell::SharedCell,
    draft::{Draft, Edit},
    form::build_fields,
    page::{DiagnosticLink, EditPage, ResultPage, ReviewPage, TablesPage},
    rows::{job_results_table, jobs_table, processes_table, workers_table},
};

type Fields = Vec<(String, String)>;

pub(crate) async fn style() -> HttpResponse {
    HttpResponse::Ok()
        .content_type("text/css; charset=utf-8")
        .body(STYLE)
}

pub(crate) async fn overview(cell: types::State<SharedCell>) -> HttpResponse {
    let state = match cell.state().await {
        Ok(state) => state,
        Err(err) => return unreachable_page(&err),
    };
    let report = cell.cell_report().await;
    let note = match (&state.document, &report) {
        (None, _) => "No document is in force yet.".to_owned(),
        (Some(_), Err(err)) => format!("Version {} is in force. {err}.", state.document_version),
        (Some(_), Ok(_)) => format!("Version {} is in force.", state.document_version),
    };
    let tables = vec![jobs_table(&report.unwrap_or_default())];
    ok_page(&TablesPage {
        title: "Overview".to_owned(),
        note,
        tables,
    })
}

pub(crate) async fn hosts(cell: types::State<SharedCell>) -> HttpResponse {
    let report = match cell.cell_report().await {
        Ok(report) => report,
        Err(err) => return unreachable_page(&err),
    };
    let incomplete = report.incomplete_shards();
    let note = match incomplete.as_slice() {
        [] => String::new(),
        names => {
            let names: Vec<&str> = names.iter().map(|name| name.as_str()).collect();
            format!("The report is incomplete for: {}.", names.join(", "))
        }
    };
    ok_page(&TablesPage {
        title: "Hosts".to_owned(),
        note,
        tables: vec![workers_table(&report)],
    })
}

pub(crate) async fn process_list(cell: types::State<SharedCell>) -> HttpResponse {
    match cell.member_statuses().await {
        Ok(statuses) => {
            let tables = vec![processes_table(&statuses)];
            ok_page(&TablesPage {
                title: "Processes".to_owned(),
                note: String::new(),
                tables,
            })
        }
        Err(err) => unreachable_page(&err),
    }
}

pub(crate) async fn outcomes(cell: types::State<SharedCell>) -> HttpResponse {
    match cell.state().await {
        Ok(state) => {
            let tables = vec![job_results_table(&state)];
            ok_page(&TablesPage {
                title: "Outcomes".to_owned(),
                note: String::new(),
                tables,
            })
        }
        Err(err) => unreachable_page(&err),
    }
}

pub(crate) async fn edit_in_force(cell: types::State<SharedCell>) -> HttpResponse {
    match cell.state().await {
        Ok(state) => {
            let draft = Draft::from_text(&state.document_text);
            let comments = has_comments(&state.document_text);
            edit_page(&draft, state.document_version, "", comments, &[])
        }
        Err(err) => unreachable_page(&err),
    }
}

pub(crate) async fn edit(
    cell: types::State<SharedCell>,
    form: types::Form<Fields>,
) -> HttpResponse {
    let pairs = form
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let mut draft = Draft::from_fields(pairs);
    let (base, author) = (base_version(&form), field_value(&form, "author"));
    let button = field_value(&form, "button");
    if button == "review" {
        return review_page(&cell, base, author, draft.to_text()).await;
    }
    if let Some(edit) = Edit::from_button(button) {
        draft.apply(&edit);
        return edit_page(&draft, base, author, false, &[]);
    }
    let diagnostics = check(&draft.to_text()).diagnostics.0;
    edit_page(&draft, base, author, false, &diagnostics)
}

pub(crate) async fn text_in_force(cell: types::State<SharedCell>) -> HttpResponse {
    match cell.state().await {
        Ok(state) => {
            let text = state.document_text.to_string();
            review_page(&cell, state.document_version, "", text).await
        }
        Err(err) => unreachable_page(&err),
    }
}

pub(crate) async fn text(
    cell: types::State<SharedCell>,
    form: types::Form<Fields>,
) -> HttpResponse {
    let (base, author) = (base_version(&form), field_value(&form, "author").trim());
    // Browsers send line breaks as CR LF.
    let text = field_value(&form, "text").replace("\r\n", "\n");
    match field_value(&form, "button") {
        "download" => download(&text),
        "publish" if author.is_empty() => rejection_page(
            "Not published",
            "Enter your name. It is shown to other operators with the change.",
            base,
            text,
        ),
        "publish" => publish_text(&cell, base, author, text).await,
        _ => review_page(&cell, base, author, text).await,
    }
}

async fn publish_text(cell: &SharedCell, base: u64, author: &str, text: String) -> HttpResponse {
    if check(&text).document.is_none() {
        return review_page(cell, base, author, text).await;
    }
    match cell.publish(&Name::new(author), base, text.clone()).await {
        Ok(published) => result_page(cell, &published, base, author, text).await,
        Err(err) => unreachable_page(&err),
    }
}

async fn result_page(
    cell: &SharedCell,
    published: &PublishOutcome,
    base: u64,
    author: &str,
    text: String,
) -> HttpResponse {
    let newest = cell
        .state()
        .await
        .map_or(base, |state| state.document_version);
    let mut page = ResultPage {
        title: "Not published".to_owned(),
        message: String::new(),
        text: text.clone(),
        author: author.to_owned(),
        base: newest,
        ours: Vec::new(),
        theirs: Vec::new(),
        conflict: false,
    };
    match published {
        PublishOutcome::Accepted { offset } => {
            page.title = "Published".to_owned();
            page.message = format!(
                "Version {offset} is accepted. The Processes page shows where it is in force."
            );
            page.text = String::new();
        }
        PublishOutcome::Refused { reason, .. } => {
            page.title = "Another change came first".to_owned();
            page.message = reason.to_string();
            page.conflict = true;
            page.ours = changes_since(cell, base, &text).await;
            if let Some(theirs) = cell.text_of_version(newest).await {
                page.theirs = changes_since(cell, base, &theirs).await;
            }
        }
        PublishOutcome::NotPublished { reason } => {
            page.message = format!("{reason}. Nothing was changed.")
        }
        PublishOutcome::InDoubt { id } => {
            page.message = format!(
                "The outcome is unknown: the answer was lost, and record {id} could not be found in \
                 the log. Check the overview before you publish again."
            );
        }
    }
    ok_page(&page)
}

async fn changes_since(cell: &SharedCell, base: u64, text: &str) -> Vec<Change> {
    let Some(old) = cell.text_of_version(base).await else {
        return Vec::new();
    };
    diff(&Draft::from_text(&old).value, &Draft::from_text(text).value)
}

async fn review_page(cell: &SharedCell, base: u64, author: &str, text: String) -> HttpResponse {
    let checked = check(&text);
    let changes = match cell.text_of_version(base).await {
        None if base == 0 => diff(&serde_json::json!({}), &Draft::from_text(&text).value),
        _ => changes_since(cell, base, &text).await,
    };
    ok_page(&ReviewPage {
        base,
        author: author.to_owned(),
        diagnostics: checked
            .diagnostics
            .0
            .iter()
            .map(Diagnostic::to_string)
            .collect(),
        valid: checked.document.is_some(),
        changes,
        text,
    })
}

fn edit_page(
    draft: &Draft,
    base: u64,
    author: &str,
    comments: bool,
    diagnostics: &[Diagnostic],
) -> HttpResponse {
    let fields = build_fields(&draft.value, diagnostics);
    let diagnostics = diagnostics
        .iter()
        .map(|diagnostic| DiagnosticLink::new(diagnostic, &fields))
        .collect();
    ok_page(&EditPage {
        base,
        author: author.to_owned(),
        diagnostics,
        comments,
        fields,
    })
}

fn field_value<'a>(form: &'a Fields, name: &str) -> &'a str {
    // The last field counts, because the pressed button comes after fields of the same name.
    let found = form.iter().rev().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value.as_str())
}

fn base_version(form: &Fields) -> u64 {
    field_value(form, "base").parse().unwrap_or(0)
}

fn has_comments(text: &str) -> bool {
    text.lines()
        .any(|line| line.trim_start().starts_with('#') || line.contains(" #"))
}

fn download(text: &str) -> HttpResponse {
    HttpResponse::Ok()
        .content_type("application/yaml; charset=utf-8")
        .header(
            header::CONTENT_DISPOSITION,
            "attachment; filename=\"cell.yaml\"",
        )
        .body(text.to_owned())
}

fn rejection_page(title: &str, message: &str, base: u64, text: String) -> HttpResponse {
    ok_page(&ResultPage {
        title: title.to_owned(),
        message: message.to_owned(),
        text,
        author: String::new(),
        base,
        ours: Vec::new(),
        theirs: Vec::new(),
        conflict: false,
    })
}

fn unreachable_page(err: &Error) -> HttpResponse {
    let page = TablesPage {
        title: "The cell is unreachable".to_owned(),
        note: format!("{err}. Nothing was changed. Try again later."),
        tables: Vec::new(),
    };
    render_page(StatusCode::SERVICE_UNAVAILABLE, &page)
}

fn ok_page(page: &impl Template) -> HttpResponse {
    render_page(StatusCode::OK, page)
}

fn render_page(status: StatusCode, page: &impl Template) -> HttpResponse {
    match page.render() {
        Ok(text) => Response::build(status)
            .content_type("text/html; charset=utf-8")
            .body(text),
        Err(err) => {
            log::error!("console: can't render a page, responding with status 500: {err}");
            HttpResponse::InternalServerError().finish()
        }
    }
}

/// Adds the routes of all pages.
pub(crate) fn routes(cfg: &mut web::ServiceConfig) {
    cfg.route("/style.css", web::get().to(style))
        .route("/", web::get().to(overview))
        .route("/edit", web::get().to(edit_in_force))
        .route("/edit", web::post().to(edit))
        .route("/text", web::get().to(text_in_force))
        .route("/text", web::post().to(text))
        .route("/hosts", web::get().to(hosts))
        .route("/processes", web::get().to(process_list))
        .route("/outcomes", web::get().to(outcomes));
}
