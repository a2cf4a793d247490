//! Tests of the shared cores.

use super::*;
use crate::nanos;

/// Runs all jobs to completion: each job with its completion time in milliseconds.
fn completions(cores: &mut Cores) -> Vec<(Job, f64)> {
    let mut completions = Vec::new();
    while let Some(time) = cores.next_completion() {
        let job = cores.pop_completed(time).unwrap();
        completions.push((job, millis(time)));
    }
    completions
}

#[test]
fn running_jobs_share_cores_equally() {
    let mut cores = Cores::new(2.0, 1e9);
    cores.start(0, 1, 10.0);
    assert_eq!(completions(&mut cores), [(1, 10.0)]);
    let start = nanos(10.0);
    for job in 1..=4 {
        cores.start(start, job, 10.0 * job as f64);
    }
    // Four jobs on two cores get half a core each; the last two get a core each.
    assert_eq!(
        completions(&mut cores),
        [(1, 30.0), (2, 45.0), (3, 55.0), (4, 65.0)]
    );
}

#[test]
fn overload_and_reduced_speed_delay_completion() {
    let mut cores = Cores::new(1.0, 2.0);
    for job in 0..4 {
        cores.start(0, job, 1.0);
    }
    // Four jobs where two are the limit: the total throughput is halved.
    assert_eq!(cores.next_completion(), Some(nanos(8.0)));
    let mut cores = Cores::new(1.0, 2.0);
    cores.start(0, 1, 10.0);
    cores.set_speed(nanos(5.0), 0.5);
    assert_eq!(cores.next_completion(), Some(nanos(15.0)));
    cores.set_speed(nanos(5.0), 0.0);
    assert_eq!(cores.next_completion(), None);
}

#[test]
fn removed_job_frees_its_share() {
    let mut cores = Cores::new(1.0, 1e9);
    let handle = cores.start(0, 1, 10.0);
    cores.start(0, 2, 10.0);
    cores.remove(nanos(10.0), handle);
    assert_eq!(completions(&mut cores), [(2, 15.0)]);
    assert_eq!(cores.busy_ms(), 15.0);
}
