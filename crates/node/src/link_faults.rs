//! Injected faults of network links, for tests: delays and cuts.

use std::{sync::Arc, time::Duration};

use kspan_model::{Name, Site};

use crate::{settings::Faults, sync::SharedValue};

/// Injected link faults in force, shared by all threads that use the network.
#[derive(Clone, Debug)]
pub struct LinkFaults {
    local_site: Site,
    faults: Arc<SharedValue<Faults>>,
}

impl LinkFaults {
    /// Creates the link faults of a process at `local_site`.
    pub fn new(local_site: Site, faults: Faults) -> Self {
        Self {
            local_site,
            faults: Arc::new(SharedValue::new(faults)),
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
        let is_region_cut = site.region != self.local_site.region
            && (contains(&faults.cut_regions, &site.region)
                || contains(&faults.cut_regions, &self.local_site.region));
        is_region_cut || contains(&faults.cut_names, name)
    }

    /// Returns whether the link to the platform's log is cut.
    pub fn is_log_cut(&self) -> bool {
        self.faults.get().cut_log
    }

    /// Returns the injected one-way delay to `site`.
    pub fn delay(&self, site: &Site) -> Duration {
        let faults = self.faults.get();
        let delay_ms = if site.region != self.local_site.region {
            faults.delay_region_ms
        } else if site.data_centre != self.local_site.data_centre {
            faults.delay_data_centre_ms
        } else {
            0
        };
        Duration::from_millis(delay_ms)
    }
}
