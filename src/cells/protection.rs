//! Protected room: where a job of another cell would only fit machines that the operators protect, it is
//! declined, with the reason and the time, before it is taken.

use crate::cloud::MachineType;
use crate::jobs::JobSpec;
use crate::node::{Core, Node};
use crate::placement::Sort;
use crate::placement::views::kinds_for;
use crate::policy::MachinePoolFacts;
use std::collections::BTreeSet;

fn facts<'a>(kind: &'a MachineType, zone: &'a str, spot: bool) -> MachinePoolFacts<'a> {
    MachinePoolFacts {
        machine_type: &kind.name,
        cpus: kind.cpus,
        gpus: kind.gpus,
        price: kind.price,
        zone,
        spot,
    }
}

/// The sorts of machine that are protected now, as the mapping numbers them.
pub fn protected_pools(node: &Node, core: &mut Core, now_ms: u64) -> BTreeSet<Sort> {
    let mut protected = BTreeSet::new();
    if !node.policy.has_protection() {
        return protected;
    }
    let names = &mut core.views.names;
    for kind in &core.kinds {
        for zone in &kind.zones {
            for spot in [false, true] {
                if node.policy.is_protected(&facts(kind, zone, spot), now_ms) {
                    protected.insert((names.number(&kind.name), names.number(zone), spot));
                }
            }
        }
    }
    protected
}

/// A protection that leaves a job no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtectionExclusion {
    /// When the first of the machines that it may use is free of it, if that is within days.
    pub until_ms: Option<u64>,
}

/// Whether all machines that a job may use are protected.
pub fn exclusion_of(
    node: &Node,
    core: &Core,
    spec: &JobSpec,
    now_ms: u64,
) -> Option<ProtectionExclusion> {
    if !node.policy.has_protection() {
        return None;
    }
    let kinds = kinds_for(core, spec);
    let kinds = kinds.iter().filter_map(|name| core.kind(name));
    let mut until_ms = None;
    for kind in kinds {
        let zones = kind.zones.iter();
        for zone in zones.filter(|zone| spec.zone.as_ref().is_none_or(|only| only == *zone)) {
            for spot in [false, true].into_iter().filter(|spot| !spot || spec.spot) {
                let sort = facts(kind, zone, spot);
                if !node.policy.is_protected(&sort, now_ms) {
                    return None;
                }
                let ends = node.policy.protection_end_ms(&sort, now_ms);
                until_ms = [until_ms, ends].into_iter().flatten().min();
            }
        }
    }
    Some(ProtectionExclusion { until_ms })
}

/// Whether a machine is protected: it is not drained by choice.
pub fn is_protected(node: &Node, kind: &MachineType, zone: &str, spot: bool, now_ms: u64) -> bool {
    node.policy.is_protected(&facts(kind, zone, spot), now_ms)
}
