//! Headroom that a controller cannot use is transferred to one that can, once it has been idle for
//! `idle_after_s`, and is not transferred back and forth. A *slot* is the headroom for one task.

use rowanmill_limits::{
    AllocationRecord, LimitsConfig, MemberDemand, QuotaHolder, RecordChange, ResourceAmount,
    TeamLimit, TeamView, Versioned, WaitingUnit,
};
use std::time::{Duration, Instant};

/// The resources of one task: a third of the limit.
const TASK_AMOUNT: ResourceAmount = ResourceAmount {
    micro_cpus: 1_000_000,
    micro_gpus: 0,
};
const LIMIT: ResourceAmount = ResourceAmount {
    micro_cpus: 3_000_000,
    micro_gpus: 0,
};
const NAMES: [&str; 3] = ["a", "b", "c"];
/// How long headroom must be idle before a controller releases it: `idle_after_s` of the default configuration.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The demand of a controller with twenty waiting tasks that could first start at `since_ms`, and one running
/// task if `running` is set.
fn demand(member: &str, running: bool, lacks_machines: bool, since_ms: u64) -> MemberDemand {
    MemberDemand {
        used: if running {
            TASK_AMOUNT
        } else {
            ResourceAmount::ZERO
        },
        waiting: ResourceAmount {
            micro_cpus: 20 * TASK_AMOUNT.micro_cpus,
            micro_gpus: 0,
        },
        oldest: Some(WaitingUnit {
            since_ms,
            job: format!("job-{member}"),
            need: TASK_AMOUNT,
            is_gang: false,
        }),
        lacks_machines,
        ..MemberDemand::idle(member)
    }
}

/// Two controllers that each run a task on a machine, and a third one that runs none and whose work is the
/// oldest. The third one lacks machines if `lacks_machines` is set.
fn two_run_and_third_waits(lacks_machines: bool) -> [MemberDemand; 3] {
    [
        demand("a", true, false, 5),
        demand("b", true, false, 6),
        demand("c", false, lacks_machines, 1),
    ]
}

/// A record that allocates to each controller the headroom for this many tasks.
fn record(tasks: [u64; 3]) -> AllocationRecord {
    let mut record = AllocationRecord::frozen(5, LIMIT);
    for (name, tasks) in NAMES.iter().zip(tasks) {
        let allocation = ResourceAmount {
            micro_cpus: tasks * TASK_AMOUNT.micro_cpus,
            micro_gpus: 0,
        };
        record.allocations.insert((*name).to_owned(), allocation);
    }
    record
}

/// One of the three controllers.
struct Controller<'a> {
    holder: QuotaHolder,
    members: &'a [MemberDemand],
    index: usize,
}

impl<'a> Controller<'a> {
    fn new(members: &'a [MemberDemand], index: usize) -> Self {
        Self {
            holder: QuotaHolder::new(LimitsConfig::default(), NAMES[index]),
            members,
            index,
        }
    }

    fn next_change(&mut self, record: &AllocationRecord, now: Instant) -> Option<RecordChange> {
        let view = TeamView {
            limit: TeamLimit {
                micro_cpus: Some(LIMIT.micro_cpus),
                micro_gpus: None,
            },
            record: Some(Versioned {
                record,
                revision: 7,
            }),
            assignment_revision: 5,
            applied_revision: 9,
            members: self.members,
        };
        let charged = self.members[self.index].used;
        self.holder.next_change("t", &view, charged, now)
    }
}

/// The changes that the third controller makes while its slot is idle: right before it may release the slot,
/// and as soon as it may.
fn release(members: &[MemberDemand]) -> (Option<RecordChange>, Option<RecordChange>) {
    let start = Instant::now();
    let record = record([1, 1, 1]);
    let mut idle = Controller::new(members, 2);
    assert_eq!(idle.next_change(&record, start), None);
    let before = start + IDLE_TIMEOUT - Duration::from_millis(1);
    let too_early = idle.next_change(&record, before);
    (too_early, idle.next_change(&record, start + IDLE_TIMEOUT))
}

/// Guards against an unused slot: of three slots only two were used, because the third one's controller had
/// no machine.
#[test]
fn a_controller_without_a_machine_releases_its_last_slot_to_one_that_can_use_it() {
    let members = two_run_and_third_waits(true);
    let (too_early, change) = release(&members);
    assert_eq!(too_early, None);
    let change = change.expect("the slot should be released after the idle time");
    assert_eq!(change.transferred, TASK_AMOUNT);
    assert_eq!(
        change.record,
        record([2, 1, 0]),
        "of the other two controllers, the one with the older work must get the whole slot"
    );
}

/// A controller that has a machine, even one that is still booting, keeps the headroom that its next task needs.
#[test]
fn a_controller_with_a_machine_keeps_a_slot_for_its_next_task() {
    let members = two_run_and_third_waits(false);
    assert_eq!(release(&members), (None, None));
}

/// If no controller has a machine, each keeps its allocation: the first machine may be rented for any of
/// them.
#[test]
fn headroom_is_not_released_while_no_controller_has_a_machine() {
    let members = NAMES.map(|name| demand(name, false, true, 1));
    assert_eq!(release(&members), (None, None));
}

/// Headroom accumulates for a gang that waits for the limit, even if its controller has no machine: that
/// controller releases none, and the others transfer theirs to it. Such a gang counts as waiting for the limit
/// only once its machines are nearly available or it has waited for long.
#[test]
fn a_gang_that_waits_for_the_limit_releases_no_headroom() {
    let mut members = two_run_and_third_waits(true);
    if let Some(gang) = &mut members[2].oldest {
        gang.is_gang = true;
    }
    assert_eq!(release(&members), (None, None));
    let mut holder = Controller::new(&members, 0);
    let change = holder.next_change(&record([2, 1, 0]), Instant::now());
    assert_eq!(change.unwrap().record, record([1, 1, 1]));
}

/// A released slot is not returned to the controller that released it while that controller has no machine,
/// even if its work is the oldest. It is returned once the controller has a machine.
#[test]
fn a_released_slot_is_returned_only_to_a_controller_with_a_machine() {
    let now = Instant::now();
    let released = record([2, 1, 0]);
    for lacks_machines in [true, false] {
        let members = two_run_and_third_waits(lacks_machines);
        let changes = (0..NAMES.len()).filter_map(|index| {
            let mut controller = Controller::new(&members, index);
            controller.next_change(&released, now)
        });
        let changes: Vec<_> = changes.map(|change| change.record).collect();
        if lacks_machines {
            assert_eq!(changes, []);
        } else {
            assert_eq!(changes, [record([1, 1, 1])]);
        }
    }
}
