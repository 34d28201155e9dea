//! Exponentially weighted moving average of service times.

use kspan_model::Millis;

/// Weight of the newest sample in the average.
const ALPHA: f64 = 0.1;

/// Exponentially weighted mean and mean deviation of service times in microseconds.
///
/// Samples are clamped to one hour.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Latency {
    mean: f64,
    deviation: f64,
    samples: u64,
}

impl Latency {
    /// Creates an average without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a sample in microseconds.
    pub fn record(&mut self, micros: u64) {
        const HOUR_US: u64 = 3_600_000_000;
        let sample = micros.min(HOUR_US) as f64;
        self.samples += 1;
        if self.samples == 1 {
            self.mean = sample;
            self.deviation = sample / 2.0;
            return;
        }
        self.deviation += ALPHA * ((sample - self.mean).abs() - self.deviation);
        self.mean += ALPHA * (sample - self.mean);
    }

    /// Returns the mean in microseconds, or `default` before the first sample.
    pub fn mean_us(&self, default: f64) -> f64 {
        if self.samples == 0 {
            default
        } else {
            self.mean
        }
    }

    /// Returns an upper estimate of the service time, four deviations above the mean, or `None`
    /// while there are too few samples.
    pub fn upper_estimate(&self) -> Option<Millis> {
        const MIN_SAMPLES: u64 = 20;
        const DEVIATIONS: f64 = 4.0;
        let micros = self.mean + DEVIATIONS * self.deviation;
        // Samples are clamped, which keeps the sum in the range of the integer.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        (self.samples >= MIN_SAMPLES).then(|| Millis((micros / 1_000.0).ceil() as u64))
    }

    /// Returns the number of recorded samples.
    pub const fn samples(&self) -> u64 {
        self.samples
    }
}
