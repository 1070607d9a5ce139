//! What the processes use from round to round, to find what grows.
use super::deployment::{Deployment, Machine};
use std::collections::BTreeMap;
use std::path::Path;

/// Growth over fewer rounds than this is no trend.
const MIN_ROUNDS: usize = 3;

/// How much a value may grow from the first to the last round, in parts of the first value.
const ALLOWED_GROWTH: f64 = 0.5;

/// The smallest growth that counts: file descriptors, threads, and megabytes of memory.
const MIN_GROWTH: f64 = 12.0;

/// What a process uses at the end of a round.
#[derive(Clone, Copy, Debug)]
struct Usage {
    file_descriptors: f64,
    threads: f64,
    memory_mb: f64,
}

impl Usage {
    fn of(folder: &Path) -> Option<Self> {
        let entries = |name: &str| Some(std::fs::read_dir(folder.join(name)).ok()?.count() as f64);
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kilobytes: f64 = resident.trim().split(' ').next()?.parse().ok()?;
        Some(Self {
            file_descriptors: entries("fd")?,
            threads: entries("task")?,
            memory_mb: kilobytes / 1_024.0,
        })
    }
}

/// The usage of each process, by the name of its machine and its process id.
#[derive(Default)]
pub(crate) struct ResourceHistory {
    usage: BTreeMap<(String, u32), Vec<Usage>>,
}

impl ResourceHistory {
    /// Records what the processes use now.
    pub(crate) fn record(&mut self, deployment: &Deployment) {
        for machine in deployment.machines() {
            self.record_machine(machine);
        }
    }

    fn record_machine(&mut self, machine: &Machine) {
        let Some((id, folder)) = machine.process_folder() else { return };
        if let Some(usage) = Usage::of(&folder) {
            self.usage.entry((machine.name.clone(), id)).or_default().push(usage);
        }
    }

    /// The processes that use more from round to round.
    pub(crate) fn violations(&self) -> Vec<String> {
        let mut violations = Vec::new();
        for ((name, id), rounds) in &self.usage {
            let mut check = |what: &str, value: &dyn Fn(&Usage) -> f64| {
                let series: Vec<f64> = rounds.iter().map(value).collect();
                if grows(&series) {
                    violations.push(format!("{name}, process {id}: {what} grow: {series:?}"));
                }
            };
            check("file descriptors", &|usage| usage.file_descriptors);
            check("threads", &|usage| usage.threads);
            check("megabytes", &|usage| usage.memory_mb);
        }
        violations
    }
}

/// Whether a value grows in every round, and by much in all.
fn grows(series: &[f64]) -> bool {
    let (Some(first), Some(last)) = (series.first(), series.last()) else { return false };
    let growth = last - first;
    series.len() >= MIN_ROUNDS
        && series.is_sorted_by(|a, b| a < b)
        && growth > MIN_GROWTH
        && growth > first * ALLOWED_GROWTH
}
