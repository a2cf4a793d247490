//! Reads an experiment's file and checks its values.

use super::{Experiment, RequestClass};

/// The experiment is invalid. The text has a line for each problem, which starts with the path of the value.
#[derive(Debug, thiserror::Error)]
#[error("{}", .problems.join("\n"))]
pub struct InvalidExperiment {
    /// The problems, in the order of the checks.
    pub problems: Vec<String>,
}

/// Reads an experiment from JSON.
///
/// # Errors
/// The JSON does not have the form of an experiment, which is the only problem then, or values are out of their range.
pub fn read(text: &str) -> Result<Experiment, InvalidExperiment> {
    let mut json = serde_json::Deserializer::from_str(text);
    let experiment: Experiment =
        serde_path_to_error::deserialize(&mut json).map_err(|e| InvalidExperiment {
            problems: vec![format!("{}: {}", e.path(), e.inner())],
        })?;
    let mut validation = Validation::default();
    validation.check_sizes(&experiment);
    validation.check_classes(&experiment);
    validation.check_load(&experiment);
    validation.check_faults(&experiment);
    if validation.problems.is_empty() {
        Ok(experiment)
    } else {
        Err(InvalidExperiment {
            problems: validation.problems,
        })
    }
}

#[derive(Default)]
struct Validation {
    problems: Vec<String>,
}

impl Validation {
    fn require(&mut self, is_valid: bool, path: &str, requirement: &str) {
        if !is_valid {
            self.problems.push(format!("{path}: {requirement}"));
        }
    }

    fn check_sizes(&mut self, experiment: &Experiment) {
        let (servers, edges) = (&experiment.servers, &experiment.edges);
        self.require(
            (0.001..=86_400.0).contains(&experiment.seconds),
            "seconds",
            "must be from 0.001 to 86400",
        );
        self.require(
            (0.0..=experiment.seconds).contains(&experiment.warm_up_s),
            "warm_s",
            "must be from 0 to `seconds`",
        );
        self.require(
            (1..=10_000).contains(&servers.count),
            "servers.count",
            "must be from 1 to 10000",
        );
        self.require(
            (0.1..=1024.0).contains(&servers.cores),
            "servers.cores",
            "must be from 0.1 to 1024",
        );
        self.require(
            servers.max_concurrency >= 1.0,
            "servers.crowd",
            "must be at least 1",
        );
        self.require(
            servers.crash_concurrency >= 1.0,
            "servers.deadly",
            "must be at least 1",
        );
        self.require(
            (1..=10_000).contains(&edges.count),
            "edges.count",
            "must be from 1 to 10000",
        );
    }

    fn check_classes(&mut self, experiment: &Experiment) {
        let classes = &experiment.classes;
        self.require(
            (1..=64).contains(&classes.len()),
            "stages",
            "must have from 1 to 64 classes",
        );
        for (index, class) in classes.iter().enumerate() {
            self.check_class(index, class);
        }
        let total_share = classes.iter().map(|class| class.share).sum::<f64>();
        self.require(
            total_share > 0.0,
            "stages",
            "at least one share must be above 0",
        );
    }

    fn check_class(&mut self, index: usize, class: &RequestClass) {
        self.require(
            (0.0..=1e9).contains(&class.share),
            &format!("stages[{index}].share"),
            "must be from 0 to 1000000000",
        );
        self.require(
            (1e-3..=1e6).contains(&class.work_ms),
            &format!("stages[{index}].work_ms"),
            "must be from 0.001 to 1000000",
        );
        self.require(
            (0.0..=class.client_timeout_ms).contains(&class.objective_ms),
            &format!("stages[{index}].due_ms"),
            "must be from 0 to `limit_ms`",
        );
        self.require(
            (0.0..=1.0).contains(&class.hot_share),
            &format!("stages[{index}].hot"),
            "must be from 0 to 1",
        );
    }

    fn check_load(&mut self, experiment: &Experiment) {
        let points = &experiment.load;
        self.require(!points.is_empty(), "load", "must have at least one point");
        let is_ordered = points.is_sorted_by(|earlier, later| earlier.at_s <= later.at_s);
        self.require(
            is_ordered,
            "load",
            "points must be in ascending order of `at_s`",
        );
        for (index, point) in points.iter().enumerate() {
            self.require(
                (0.0..=1e7).contains(&point.per_s),
                &format!("load[{index}].per_s"),
                "must be from 0 to 10000000",
            );
        }
    }

    fn check_faults(&mut self, experiment: &Experiment) {
        for (index, fault) in experiment.faults.iter().enumerate() {
            self.require(
                fault.first_server + fault.servers <= experiment.servers.count,
                &format!("faults[{index}].servers"),
                "`first` + `servers` must not exceed `servers.count`",
            );
            self.require(
                fault.at_s >= 0.0 && fault.duration_s >= 0.0,
                &format!("faults[{index}].at_s"),
                "`at_s` and `for_s` must not be negative",
            );
        }
    }
}
