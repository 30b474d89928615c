//! Estimates how long the tasks of a class of jobs run, from the run times measured so far.

/// With fewer samples, the owners' estimates are used unchanged.
const MIN_SAMPLES: f64 = 4.0;

/// Mean and variance of a class's run times, each divided by its owner's estimate, by Welford's algorithm.
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

    /// The factor by which to multiply the owner's estimate: the mean plus one standard deviation. This is the
    /// run-time estimate of the CVSS paper.
    pub fn factor(&self) -> f64 {
        if self.count < MIN_SAMPLES {
            return 1.0;
        }
        self.mean + (self.squared_deviations / (self.count - 1.0)).sqrt()
    }

    /// The mean ratio, without the standard deviation.
    pub fn mean(&self) -> f64 {
        if self.count < MIN_SAMPLES {
            return 1.0;
        }
        self.mean
    }
}
