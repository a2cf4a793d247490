use super::support::*;

#[test]
fn class_without_a_base_latency_gets_the_largest() {
    let mut server = started(parameters());
    server.classes[0].base_latency = 100.0;
    put_task(&mut server, TaskState::Queued, 0);
    put_task(&mut server, TaskState::Queued, 1);
    let density = |task: usize| server.weight_density(&server.tasks[task], 0.0);
    assert!((density(1) / density(0) - 3.0).abs() < 1e-9);
}

#[test]
fn densest_task_starts_next_and_the_tenant_with_most_queued_is_rejected_first() {
    let mut server = started(parameters());
    server.tenants = vec![tenant_with_quota(20.0), tenant_with_quota(200.0)];
    for (class, tenant) in [(0, 0), (1, 1), (0, 1), (0, 1)] {
        put_task(&mut server, TaskState::Queued, class);
        let handle = *server.active.last().unwrap();
        server.tenants[0].queued -= 1;
        server.tenants[tenant].queued += 1;
        server.tasks[handle.index()].arrival.tenant = tenant;
    }
    assert_eq!(
        (server.next_to_start(0.0), server.first_to_reject(0.0)),
        (Some(Handle(1)), Some(Handle(3)))
    );
}

#[test]
fn requests_beyond_the_quota_have_a_reduced_weight() {
    let mut server = started(parameters());
    server.tenants = vec![tenant_with_quota(100.0)];
    server.tenants[0].recent_arrivals.add(40.0); // 10 per second; the quota on this server is 100 / 20 servers
    assert!((server.quota_factor(&server.tenants[0]) - 0.55).abs() < 1e-9);
}
