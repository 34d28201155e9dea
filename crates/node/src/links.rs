//! Artificial delays and cuts of links, for tests.

use std::{sync::Arc, time::Duration};

use kspan_model::{Name, Site};

use crate::{settings::Faults, slot::Slot};

/// The artificial faults in force, shared by every thread that talks to someone else.
#[derive(Clone, Debug)]
pub struct LinkFaults {
    here: Site,
    faults: Arc<Slot<Faults>>,
}

impl LinkFaults {
    /// Creates the links of a process at `here`.
    pub fn new(here: Site, faults: Faults) -> Self {
        Self {
            here,
            faults: Arc::new(Slot::new(faults)),
        }
    }

    /// Replaces the faults.
    pub fn set(&self, faults: Faults) {
        self.faults.set(Arc::new(faults));
    }

    /// Returns the faults in force.
    pub fn faults(&self) -> Arc<Faults> {
        self.faults.get()
    }

    /// Returns whether the link to a process or host at `site` is cut.
    pub fn is_cut(&self, name: &str, site: &Site) -> bool {
        let faults = self.faults.get();
        let contains = |names: &[Name], name: &str| names.iter().any(|n| n.as_str() == name);
        let apart = site.region != self.here.region
            && (contains(&faults.cut_regions, &site.region)
                || contains(&faults.cut_regions, &self.here.region));
        apart || contains(&faults.cut_names, name)
    }

    /// Returns whether the platform's log is cut.
    pub fn is_log_cut(&self) -> bool {
        self.faults.get().cut_log
    }

    /// Returns the one-way delay to `site`.
    pub fn delay(&self, site: &Site) -> Duration {
        let faults = self.faults.get();
        let delay_ms = if site.region != self.here.region {
            faults.delay_region_ms
        } else if site.data_centre != self.here.data_centre {
            faults.delay_data_centre_ms
        } else {
            0
        };
        Duration::from_millis(delay_ms)
    }
}
