//! Consistency checks across the fields of a site.

use stonefold_config::{Check, CheckError, Idempotency};

use crate::site::{Fault, FaultKind, Site};

/// Allowed deviation of a sum of shares from 1, for shares that are rounded to two decimals.
const SHARE_SUM_TOLERANCE: f64 = 0.011;

impl Site {
    /// Checks that a fault is complete and that the servers and the zone it names exist.
    ///
    /// # Errors
    ///
    /// Returns the invalid field of the fault and the reason.
    pub fn check_fault(&self, fault: &Fault) -> Result<(), CheckError> {
        self.check_fault_server(fault)?;
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.network.zones.contains(zone)) {
            let reason = format!("{zone:?} is none of network.zones: {:?}", self.network.zones);
            return Err(CheckError::new("zone", reason));
        }
        let selects_servers = fault.server.is_some() || fault.part.is_some() || fault.zone.is_some();
        if fault.kind.needs_servers() && !selects_servers {
            return Err(CheckError::new("kind", "needs server, part or zone"));
        }
        if matches!(fault.kind, FaultKind::Slow | FaultKind::OriginSlow) && fault.factor.is_none() {
            return Err(CheckError::new("factor", "needed: how many times slower"));
        }
        if fault.kind == FaultKind::Partition && fault.zone.is_none() {
            return Err(CheckError::new("zone", "needed: the zone that is cut off"));
        }
        Ok(())
    }

    fn check_fault_server(&self, fault: &Fault) -> Result<(), CheckError> {
        let exists = |id: &String| (0..self.cache_count()).any(|number| Site::id(number) == *id);
        let Some(id) = fault.server.as_ref().filter(|id| !exists(id)) else {
            return Ok(());
        };
        let last = self.cache_count().saturating_sub(1);
        let reason = format!("no cache server {id:?}: they are c-0 to c-{last}");
        Err(CheckError::new("server", reason))
    }

    fn check_required(&self) -> Result<(), CheckError> {
        if self.caches.is_empty() {
            return Err(CheckError::new("cache", "needed: at least one [[cache]] with its count"));
        }
        if self.classes.is_empty() {
            let reason = "needed: at least one [[class]] with name, share, work, aim, deadline and effect";
            return Err(CheckError::new("class", reason));
        }
        if self.network.zones.is_empty() {
            return Err(CheckError::new("network.zones", "needed: at least one zone"));
        }
        let [least, most] = self.network.cross_zone;
        if most < least {
            let reason = "the second must not be less than the first";
            return Err(CheckError::new("network.cross_zone", reason));
        }
        Ok(())
    }

    fn check_classes(&self) -> Result<(), CheckError> {
        for (index, class) in self.classes.iter().enumerate() {
            if class.deadline < class.latency_objective {
                let key = format!("class[{index}].deadline");
                return Err(CheckError::new(key, "must not be shorter than the aim"));
            }
            if class.effect == Idempotency::Keyed && class.window.us() == 0 {
                let key = format!("class[{index}].window");
                return Err(CheckError::new(key, "a keyed class needs a window above 0s"));
            }
        }
        Ok(())
    }

    fn check_shares(&self) -> Result<(), CheckError> {
        check_share_sum("class", self.classes.iter().map(|class| class.share.get()).sum())?;
        if self.tenants.is_empty() {
            return Ok(());
        }
        check_share_sum("tenant", self.tenants.iter().map(|tenant| tenant.share.get()).sum())
    }
}

fn check_share_sum(key: &str, sum: f64) -> Result<(), CheckError> {
    if (sum - 1.0).abs() > SHARE_SUM_TOLERANCE {
        return Err(CheckError::new(key, format!("the shares add up to {sum:.3}, not to 1")));
    }
    Ok(())
}

impl Check for Site {
    fn check(&self) -> Result<(), CheckError> {
        self.check_required()?;
        self.check_classes()?;
        self.check_shares()?;
        for (index, fault) in self.faults.iter().enumerate() {
            self.check_fault(fault).map_err(|error| error.below(&format!("fault[{index}]")))?;
        }
        Ok(())
    }
}
