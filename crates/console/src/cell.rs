//! State shared by the pages: the client of the cell and recent versions of the document.

use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, sync::Arc};

use kspan_fold::{Body, State};
use kspan_model::Name;
use kspan_operator::{CellClient, CellReport, Error, MemberStatus, PublishOutcome, Result};
use tokio::sync::Mutex;

/// Maximum number of document versions whose texts are kept to show both sides of a conflict.
const MAX_KEPT_VERSIONS: usize = 32;

/// The cell shown by the pages. Clones share one client within a thread.
#[derive(Clone)]
pub(crate) struct SharedCell {
    inner: Rc<Mutex<Inner>>,
    log: SocketAddr,
}

#[derive(Default)]
struct Inner {
    cell: Option<CellClient>,
    versions: BTreeMap<u64, Arc<str>>,
}

impl SharedCell {
    pub(crate) fn new(log: SocketAddr) -> Self {
        Self {
            inner: Rc::default(),
            log,
        }
    }

    /// Reads the log to its end and returns the resulting state.
    pub(crate) async fn state(&self) -> Result<State> {
        let mut inner = self.inner.lock().await;
        self.refresh(&mut inner).await.cloned()
    }

    /// Returns the text of a document version, if it was read since the start and is still kept.
    pub(crate) async fn text_of_version(&self, version: u64) -> Option<Arc<str>> {
        self.inner.lock().await.versions.get(&version).cloned()
    }

    pub(crate) async fn publish(
        &self,
        author: &Name,
        base: u64,
        text: String,
    ) -> Result<PublishOutcome> {
        let mut inner = self.inner.lock().await;
        self.refresh(&mut inner).await?;
        let cell = inner.cell.as_mut().ok_or(Error::NoMember("process"))?;
        let published = cell.publish(author, Body::Document { base, text }).await?;
        self.refresh(&mut inner).await?;
        Ok(published)
    }

    pub(crate) async fn member_statuses(&self) -> Result<Vec<MemberStatus>> {
        let mut inner = self.inner.lock().await;
        self.refresh(&mut inner).await?;
        let cell = inner.cell.as_ref().ok_or(Error::NoMember("process"))?;
        Ok(cell.fetch_member_statuses().await)
    }

    pub(crate) async fn cell_report(&self) -> Result<CellReport> {
        let mut inner = self.inner.lock().await;
        self.refresh(&mut inner).await?;
        let cell = inner.cell.as_ref().ok_or(Error::NoMember("process"))?;
        cell.fetch_report().await
    }

    async fn refresh<'a>(&self, inner: &'a mut Inner) -> Result<&'a State> {
        match inner.cell.as_mut() {
            Some(cell) => cell.refresh().await?,
            None => inner.cell = Some(CellClient::connect(self.log).await?),
        }
        let state = inner
            .cell
            .as_ref()
            .ok_or(Error::NoMember("process"))?
            .state();
        if state.document.is_some() {
            inner
                .versions
                .insert(state.document_version, Arc::clone(&state.document_text));
        }
        while inner.versions.len() > MAX_KEPT_VERSIONS {
            inner.versions.pop_first();
        }
        Ok(state)
    }
}
