//! Amounts of the resources that tasks request and machines offer.

use crate::cloud::MachineType;
use crate::jobs::JobSpec;

/// Tolerance for rounding when amounts and times are compared.
pub(super) const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Amounts of a machine's resources: what a task requests, or what is free.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPU cores.
    pub cpus: f64,
    /// GPU cards.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Resources {
    /// Whether `available` covers each amount.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + ROUNDING_TOLERANCE
            && self.gpus <= available.gpus + ROUNDING_TOLERANCE
            && self.memory_gb <= available.memory_gb + ROUNDING_TOLERANCE
    }

    /// How many requests of this size `available` covers, at most `max`.
    pub(super) fn tasks_in(&self, available: &Resources, max: usize) -> usize {
        let count = |requested: f64, available: f64| {
            let available = available + ROUNDING_TOLERANCE;
            if available < 0.0 {
                0
            } else if requested > 0.0 {
                (available / requested) as usize
            } else {
                max
            }
        };
        count(self.cpus, available.cpus)
            .min(count(self.gpus, available.gpus))
            .min(count(self.memory_gb, available.memory_gb))
            .min(max)
    }

    /// Adds each amount of `other`.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts each amount of `other`; amounts may become negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Each amount multiplied by `factor`.
    pub fn scaled(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            memory_gb: self.memory_gb * factor,
        }
    }

    /// The largest fraction that this takes of any resource of `capacity` (the dominant share).
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let fraction = |amount: f64, capacity: f64| {
            if capacity > 0.0 {
                amount / capacity
            } else {
                0.0
            }
        };
        fraction(self.cpus, capacity.cpus)
            .max(fraction(self.gpus, capacity.gpus))
            .max(fraction(self.memory_gb, capacity.memory_gb))
    }

    /// Whether no amount is positive.
    pub(super) fn is_empty(&self) -> bool {
        self.cpus <= ROUNDING_TOLERANCE
            && self.gpus <= ROUNDING_TOLERANCE
            && self.memory_gb <= ROUNDING_TOLERANCE
    }

    /// Subtracts from this request and from `available` as much as both have. What is left of the request has not
    /// been found yet.
    pub(super) fn consume_from(&mut self, available: &mut Resources) {
        let consumed = Resources {
            cpus: self.cpus.min(available.cpus).max(0.0),
            gpus: self.gpus.min(available.gpus).max(0.0),
            memory_gb: self.memory_gb.min(available.memory_gb).max(0.0),
        };
        self.sub(&consumed);
        available.sub(&consumed);
    }
}

impl JobSpec {
    /// What one task of the job requests.
    pub fn resources(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            memory_gb: self.memory_gb,
        }
    }
}

/// The resources of an empty machine of a type.
pub fn capacity_of(machine_type: &MachineType) -> Resources {
    Resources {
        cpus: machine_type.cpus,
        gpus: machine_type.gpus,
        memory_gb: machine_type.memory_gb,
    }
}
