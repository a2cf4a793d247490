//! Requests of one tenant never get results of another, and management records on a connection do not affect its
//! requests.

use asterdale_fastcgi::record_type;
use asterdale_testkit::scripted::{record, Backend, EdgeConnection, WAIT_TIMEOUT};
use serde_json::json;

const KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
const TENANTS: [&str; 3] = ["north", "river", "port"];

fn start_backend() -> Backend {
    let backend = Backend::start_before_runtime(|config| {
        let tenants =
            TENANTS.map(|name| json!({"name": name, "allowancePerS": 50.0, "portion": 0.3}));
        config["settings"]["tenants"] = json!(tenants);
        config["settings"]["extra"]["cores"] = json!(40);
    });
    backend.runtime.set_ready();
    backend
}

#[test]
fn idempotency_keys_are_separate_per_tenant_and_an_unknown_tenant_is_rejected() {
    let backend = start_backend();
    let mut edge = backend.connect();
    for (number, tenant) in (1u16..).zip(TENANTS) {
        let id = format!("{number:016x}");
        edge.send_task(number, "bid", &id, &[KEY, ("HTTP_X_TENANT", tenant)]);
        assert_eq!(
            backend.runtime.expect_command("start")["rid"],
            id,
            "{tenant}"
        );
    }
    // A retry of each while all run; each gets the result of its own tenant.
    for (number, tenant) in (11u16..).zip(TENANTS) {
        edge.send_task(
            number,
            "bid",
            &format!("{number:016x}"),
            &[KEY, ("HTTP_X_TENANT", tenant)],
        );
    }
    backend.counters_until(|count| count("tasks_taken") == 6);
    for (number, tenant) in (1u16..).zip(TENANTS) {
        backend
            .runtime
            .send_run_end(&format!("{number:016x}"), "PASS", tenant.as_bytes());
    }
    for _ in 0..6 {
        let answer = edge.read_response().unwrap();
        let tenant = TENANTS[usize::from((answer.request - 1) % 10)];
        assert_eq!(answer.body, tenant.as_bytes(), "{}", answer.request);
    }
    edge.send_task(
        20,
        "bid",
        "00000000000000aa",
        &[KEY, ("HTTP_X_TENANT", "nobody")],
    );
    assert_eq!(edge.expect_status(20), "400");
    assert_eq!(backend.runtime.try_next_command(), None);
}

/// Requests of several tenants are interleaved on several connections that reuse their request numbers; each must get
/// the result of its own run.
#[test]
fn interleaved_requests_of_several_tenants_never_get_each_others_results() {
    let backend = start_backend();
    let mut edges: Vec<EdgeConnection> = (0..3).map(|_| backend.connect()).collect();
    let mut random = 7u64;
    for round in 0..40u64 {
        let mut open = Vec::new();
        for (edge_index, edge) in edges.iter_mut().enumerate() {
            for number in 1..=4u16 {
                random = random
                    .wrapping_mul(6364136223846793005)
                    .wrapping_add(1442695040888963407);
                let tenant = TENANTS[(random >> 33) as usize % TENANTS.len()];
                let class = if random >> 62 == 0 { "bid" } else { "page" };
                let id = format!(
                    "{:016x}",
                    (round << 16) | ((edge_index as u64) << 8) | u64::from(number)
                );
                let key = format!("{:032x}", random >> 40);
                let fields = [
                    ("HTTP_X_TENANT", tenant),
                    ("HTTP_IDEMPOTENCY_KEY", key.as_str()),
                ];
                edge.send_task(number, class, &id, &fields);
                open.push((edge_index, number, id, tenant));
            }
        }
        for _ in 0..open.len() {
            let command = backend.runtime.expect_command("start");
            let id = command["rid"].as_str().unwrap();
            let (.., tenant) = open
                .iter()
                .find(|(_, _, known, _)| known == id)
                .expect("a request of this round");
            backend
                .runtime
                .send_run_end(id, "PASS", format!("{id} {tenant}").as_bytes());
        }
        for (edge_index, edge) in edges.iter_mut().enumerate() {
            for _ in 0..4 {
                let answer = edge.read_response().unwrap();
                let (.., id, tenant) = open
                    .iter()
                    .find(|(index, number, ..)| (*index, *number) == (edge_index, answer.request))
                    .unwrap();
                assert_eq!(answer.body, format!("{id} {tenant}").as_bytes());
            }
        }
    }
}

#[test]
fn requests_between_management_records_are_answered() {
    let backend = Backend::start();
    let mut edge = backend.connect();
    edge.stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    for number in 1..=20u16 {
        // FCGI_GET_VALUES without variables.
        edge.send(&record(record_type::GET_VALUES, 0, &[]));
        let id = format!("{number:016x}");
        edge.send_task(number, "page", &id, &[]);
        backend.runtime.expect_command("start");
        backend.runtime.send_run_end(&id, "PASS", b"whole");
        let answer = next_answer(&mut edge);
        assert_eq!((answer, backend.runtime.try_next_command()), (number, None));
    }
}

/// The number of the next answer to a request; replies to management records are skipped.
fn next_answer(edge: &mut EdgeConnection) -> u16 {
    loop {
        match edge.try_read_response() {
            Ok(Some(answer)) => return answer.request,
            Ok(None) => panic!("the connection ended"),
            Err(e) if e.kind() == std::io::ErrorKind::InvalidData => {} // GET_VALUES_RESULT
            Err(e) => panic!("{e}"),
        }
    }
}
