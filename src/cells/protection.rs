//! Protection of machines from the jobs of other cells. A cell declines to adopt another cell's job if all
//! machines that the job may use are protected, and logs when the first protection ends.
//!
//! The policy decides which machine pools are protected; this module evaluates it for pools, jobs and
//! machines.

use crate::cloud::MachineType;
use crate::jobs::JobSpec;
use crate::node::{Core, Node};
use crate::placement::PoolId;
use crate::placement::snapshot::eligible_machine_types;
use crate::policy::MachinePoolFacts;
use std::collections::BTreeSet;
use std::fmt;

fn pool_facts<'a>(
    machine_type: &'a MachineType,
    zone: &'a str,
    spot: bool,
) -> MachinePoolFacts<'a> {
    MachinePoolFacts {
        machine_type: &machine_type.name,
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        price: machine_type.price,
        zone,
        spot,
    }
}

/// The machine pools that are protected now, by the interned names that the forecast uses.
pub fn protected_pools(node: &Node, core: &mut Core, now_ms: u64) -> BTreeSet<PoolId> {
    let mut protected = BTreeSet::new();
    if !node.policy.has_protection() {
        return protected;
    }
    let names = &mut core.snapshots.names;
    for machine_type in &core.machine_types {
        for zone in &machine_type.zones {
            for spot in [false, true] {
                let facts = pool_facts(machine_type, zone, spot);
                if node.policy.is_protected(&facts, now_ms) {
                    protected.insert(PoolId {
                        machine_type: names.intern(&machine_type.name),
                        zone: names.intern(zone),
                        spot,
                    });
                }
            }
        }
    }
    protected
}

/// Result of [`exclusion_of`] if all machines that a job may use are protected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtectionExclusion {
    /// When the first of these protections ends, in milliseconds since the Unix epoch. `None` if none ends
    /// within the days for which the policy searches.
    pub until_ms: Option<u64>,
}

impl fmt::Display for ProtectionExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("all eligible machines are protected")?;
        match self.until_ms {
            Some(at_ms) => write!(f, " until {at_ms} ms since the Unix epoch"),
            None => Ok(()),
        }
    }
}

/// Whether all machines that a job may use are protected, and until when. `None` if one of them is not.
pub fn exclusion_of(
    node: &Node,
    core: &Core,
    spec: &JobSpec,
    now_ms: u64,
) -> Option<ProtectionExclusion> {
    if !node.policy.has_protection() {
        return None;
    }
    let eligible = eligible_machine_types(core, spec);
    let machine_types = eligible.iter().filter_map(|name| core.machine_type(name));
    let mut until_ms = None;
    for machine_type in machine_types {
        let zones = machine_type.zones.iter();
        let permitted = zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone));
        for zone in permitted {
            for spot in [false, true].into_iter().filter(|spot| !spot || spec.spot) {
                let facts = pool_facts(machine_type, zone, spot);
                if !node.policy.is_protected(&facts, now_ms) {
                    return None;
                }
                let end = node.policy.protection_end_ms(&facts, now_ms);
                until_ms = [until_ms, end].into_iter().flatten().min();
            }
        }
    }
    Some(ProtectionExclusion { until_ms })
}

/// Whether a machine is protected. Protected machines are not drained to scale in.
pub fn is_protected(
    node: &Node,
    machine_type: &MachineType,
    zone: &str,
    spot: bool,
    now_ms: u64,
) -> bool {
    let facts = pool_facts(machine_type, zone, spot);
    node.policy.is_protected(&facts, now_ms)
}
