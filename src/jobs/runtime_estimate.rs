//! How long a class of jobs takes, learned from its tasks that have run.

/// Below this many samples, the owners' estimates are taken as they are.
const MIN_SAMPLES: f64 = 4.0;

/// Actual run times of a class as ratios to the owners' estimates: mean and variance by Welford's method.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RuntimeEstimate {
    /// Number of samples.
    pub count: f64,
    mean: f64,
    /// Sum of the squared deviations from the mean.
    squared_deviations: f64,
}

impl RuntimeEstimate {
    /// Adds a sample: a task's run time divided by its owner's estimate.
    pub fn add(&mut self, ratio: f64) {
        self.count += 1.0;
        let delta = ratio - self.mean;
        self.mean += delta / self.count;
        self.squared_deviations += delta * (ratio - self.mean);
    }

    /// The paper's estimate, past mean plus one standard deviation, as a factor on the owner's estimate.
    pub fn factor(&self) -> f64 {
        if self.count < MIN_SAMPLES {
            return 1.0;
        }
        self.mean + (self.squared_deviations / (self.count - 1.0)).sqrt()
    }

    /// The mean as a factor on the owner's estimate.
    pub fn mean(&self) -> f64 {
        if self.count < MIN_SAMPLES {
            return 1.0;
        }
        self.mean
    }
}
