//! Benchmarks of the decisions, with baselines and targets.
