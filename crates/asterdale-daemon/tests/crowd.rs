//! Hundreds of connections to a daemon that the system allows no more threads or descriptors.

use std::collections::HashMap;
use std::time::Duration;

use asterdale_testkit::connection_load::{ConnectionLoad, LoadConfig};
use asterdale_testkit::process::Daemon;
use asterdale_testkit::simulated_runtime::SimulatedRuntime;
use asterdale_testkit::soak::{start_daemon, MAX_THREADS};
use rustix::process::{prlimit, Pid, Resource, Rlimit};

const CONNECTIONS: usize = 600;

fn load_config(address: std::net::SocketAddr, connections: usize, seed: u32) -> LoadConfig {
    LoadConfig {
        address,
        connections,
        edge_nodes: 150,
        rate: 400.0,
        duration: Duration::from_secs(3),
        one_request_per_connection: false,
        request_classes: vec!["page", "bid"],
        timeout_ms: 20_000,
        resend_window: Duration::from_secs(20),
        seed,
    }
}

fn set_resource_limit(daemon: &Daemon, resource: Resource, limit: u64) {
    let process = Pid::from_raw(daemon.process_id() as i32);
    prlimit(
        process,
        resource,
        Rlimit {
            current: Some(limit),
            maximum: Some(limit),
        },
    )
    .unwrap();
}

fn virtual_memory_kib(daemon: &Daemon) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.process_id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmSize:"))
        .unwrap();
    line.split_whitespace().next().unwrap().parse().unwrap()
}

/// Checks that every request has exactly one answer, and that nothing ran twice.
fn assert_each_request_is_answered_once(load: &ConnectionLoad, runs: &HashMap<String, u32>) {
    let stats = &load.stats;
    assert_eq!(
        (stats.lost, stats.unexpected_answers, stats.failed_connects),
        (0, 0, 0),
        "{:?}",
        stats.answers_by_status
    );
    assert_eq!(stats.answer_count(), stats.sent);
    assert!(stats.count_with_status("200") > 0);
    assert!(runs.values().all(|&runs| runs == 1));
}

#[test]
fn hundreds_of_connections_need_no_more_threads_and_each_request_is_answered_once() {
    let runtime = SimulatedRuntime::start(4, (1, 4)).unwrap();
    let (daemon, address) = start_daemon(&runtime, 16 * 1024).unwrap();
    // After this load every thread has run, and its allocator has reserved its memory.
    let mut warm_up = ConnectionLoad::new(LoadConfig {
        duration: Duration::from_millis(500),
        ..load_config(address, 10, 9)
    })
    .unwrap();
    warm_up.run(Duration::from_secs(1), |_| true);
    drop(warm_up);
    // The address space that is left is several times the buffers of 600 connections and smaller than the stacks of
    // 600 threads. This serves as a limit on threads that applies to this process alone.
    set_resource_limit(
        &daemon,
        Resource::As,
        (virtual_memory_kib(&daemon) + 32 * 1024) * 1024,
    );
    let mut load = ConnectionLoad::new(load_config(address, CONNECTIONS, 1)).unwrap();
    let mut max_threads = 0;
    load.run(Duration::from_millis(100), |_| {
        max_threads = max_threads.max(daemon.thread_and_descriptor_counts().0);
        true
    });
    assert!(
        (1..=MAX_THREADS).contains(&max_threads),
        "{max_threads} threads"
    );
    assert_eq!(
        load.open_connections(),
        CONNECTIONS,
        "{}",
        daemon.log().join("\n")
    );
    assert_each_request_is_answered_once(&load, &runtime.runs());
}

#[test]
fn a_refused_descriptor_lets_connections_wait_and_costs_no_request() {
    let runtime = SimulatedRuntime::start(4, (1, 4)).unwrap();
    let (daemon, address) = start_daemon(&runtime, 16 * 1024).unwrap();
    // There are descriptors for 20 connections beside those that the process has open; the load opens 40.
    let open_descriptors = daemon.thread_and_descriptor_counts().1 as u64;
    set_resource_limit(&daemon, Resource::Nofile, open_descriptors + 20);
    let mut load = ConnectionLoad::new(load_config(address, 40, 2)).unwrap();
    load.run(Duration::from_secs(1), |_| true);
    let refused = daemon
        .counter("accepts_refused")
        .unwrap_or_else(|| panic!("no counters in {}", daemon.log().join("\n")));
    assert!(refused > 0, "{}", daemon.log().join("\n"));
    assert!(daemon
        .log()
        .iter()
        .any(|line| line.contains("frontend: accept paused")));
    // Waiting connections were accepted as idle ones were closed, and no request was lost on either.
    assert_each_request_is_answered_once(&load, &runtime.runs());
    // 10 connections need no more descriptors than there are: none has to be closed.
    drop(load);
    let mut after = ConnectionLoad::new(load_config(address, 10, 3)).unwrap();
    after.run(Duration::from_secs(1), |_| true);
    assert_each_request_is_answered_once(&after, &runtime.runs());
}
