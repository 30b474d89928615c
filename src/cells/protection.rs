//! Protection of machines from the work of other cells. A job of another cell that only fits protected
//! machines is declined, with the reason and the time, before it is adopted.
//!
//! The policy decides what is protected; this module applies it to machine pools, jobs and machines.

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

/// The machine pools that are protected now, as the forecast numbers them.
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

/// A protection that leaves a job no machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtectionExclusion {
    /// When the first of the machines that the job may use is free of protection, in milliseconds since
    /// the Unix epoch, if that is within days.
    pub until_ms: Option<u64>,
}

impl fmt::Display for ProtectionExclusion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("only protected room")?;
        match self.until_ms {
            Some(at_ms) => write!(f, ", until {at_ms} ms of the epoch"),
            None => Ok(()),
        }
    }
}

/// The protection of all machines that a job may use; `None` if one of them is not protected.
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

/// Whether a machine is protected, so that it is not drained by choice.
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
