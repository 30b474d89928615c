//! Random limits and jobs, generated from a seed.

use super::store::{Job, TaskState};
use rand::RngExt;
use rand::rngs::StdRng;
use rowanmill_limits::{ResourceAmount, TeamLimit};

/// Units in one CPU or GPU.
pub const UNITS_PER_RESOURCE: u64 = 1_000_000;

pub fn random_limit(random: &mut StdRng) -> TeamLimit {
    let micro_cpus = random.random_range(4..12) * UNITS_PER_RESOURCE;
    let micro_gpus = random.random_range(1..4) * UNITS_PER_RESOURCE;
    TeamLimit {
        micro_cpus: Some(micro_cpus),
        micro_gpus: Some(micro_gpus),
    }
}

pub fn random_jobs(random: &mut StdRng, limit: &TeamLimit) -> Vec<Job> {
    let count = random.random_range(10..20);
    (0..count)
        .map(|since_ms| random_job(random, limit, since_ms))
        .collect()
}

/// Generates an array, or a gang that fits into the limit.
fn random_job(random: &mut StdRng, limit: &TeamLimit, since_ms: u64) -> Job {
    let is_gang = random.random_bool(0.3);
    let max_tasks = if is_gang {
        limit.as_amount().micro_cpus / UNITS_PER_RESOURCE
    } else {
        8
    };
    let tasks = random.random_range(1..=max_tasks) as usize;
    let micro_gpus = u64::from(!is_gang && random.random_bool(0.3)) * UNITS_PER_RESOURCE;
    let micro_cpus = if is_gang {
        UNITS_PER_RESOURCE
    } else {
        random.random_range(1..=2) * UNITS_PER_RESOURCE - 1
    };
    Job {
        need: ResourceAmount {
            micro_cpus,
            micro_gpus,
        },
        is_gang,
        since_ms,
        tasks: vec![TaskState::Waiting; tasks],
        revision: 0,
    }
}
