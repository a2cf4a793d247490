//! Tests of an experiment's validation.

use super::*;

#[test]
fn invalid_experiment_reports_every_problem_with_its_path() {
    let text = r#"{"seconds": -1, "servers": {"count": 0, "cores": 4, "policy": "asterdale"},
        "edges": {"count": 1, "pick": "random"}, "stages": [{"name": "a", "share": 1, "work_ms": 0,
        "due_ms": 9, "limit_ms": 5}], "load": [], "faults": [{"at_s": 1, "for_s": 1, "servers": 3,
        "what": {"slow": 0.5}}]}"#;
    let problems = read(text).unwrap_err().problems;
    for path in [
        "seconds",
        "servers.count",
        "stages[0].work_ms",
        "stages[0].due_ms",
        "load",
        "faults[0].servers",
    ] {
        assert!(
            problems.iter().any(|problem| problem.starts_with(path)),
            "{path} is not in {problems:?}"
        );
    }
    let text = r#"{"seconds": 1, "servers": {"count": 1, "cores": "x"}}"#;
    let problems = read(text).unwrap_err().problems;
    assert!(problems[0].starts_with("servers.cores: "), "{problems:?}");
}
