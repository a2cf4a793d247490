//! Authentication and authorization of callers on real sockets: every row of the table of responses in `docs/identity.md`.

use asterdale_identity::mint::{sign_jws, SecretKey};
use asterdale_testkit::issuer::{Behavior, Issuer};
use asterdale_testkit::scripted::{wait_until, Backend, EdgeConnection, Response};
use asterdale_testkit::unix_ms;
use serde_json::{json, Value};

const ID_A: &str = "00000000000000aa";
const ID_B: &str = "00000000000000bb";
const ID_C: &str = "00000000000000cc";
const ID_D: &str = "00000000000000dd";
const KEY: (&str, &str) = ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");

fn key(n: u8) -> SecretKey {
    SecretKey::from_seed([n; 32], &format!("k{n}"))
}

fn root() -> SecretKey {
    SecretKey::from_seed([99; 32], "root")
}

/// A signed key set with keys 1 to 4 (outgoing, active, announced, retired) and these revocations.
fn key_set(seq: u64, revoked: Value) -> String {
    let now = unix_ms();
    let jwk = |n: u8, from: f64, until: Option<f64>| {
        let mut jwk = json!({"kty": "OKP", "crv": "Ed25519", "kid": format!("k{n}"),
            "x": key(n).public_key_text(), "from_ms": from});
        if let Some(until) = until {
            jwk["until_ms"] = json!(until);
        }
        jwk
    };
    let keys = [
        jwk(1, 0.0, Some(now + 3.6e6)),
        jwk(2, now - 3.6e6, None),
        jwk(3, now + 3.6e6, None),
        jwk(4, 0.0, Some(now - 3.6e6)),
    ];
    let set = json!({"seq": seq, "issued_ms": now, "keys": keys, "revoked": revoked});
    sign_jws(
        &root(),
        &json!({"alg": "EdDSA", "kid": "root", "typ": asterdale_identity::keyring::KEY_SET_TYPE}),
        &set,
    )
}

/// A token of a phone bidder of this tenant, signed by this key after `change`.
fn token(n: u8, tenant: &str, change: impl FnOnce(&mut Value)) -> String {
    let exp = unix_ms() / 1e3 + 3600.0;
    let mut claims = json!({"iss": "office", "aud": "asterdale", "sub": "ann", "tenant": tenant,
        "roles": ["phone"], "exp": exp, "jti": format!("{tenant}-{n}")});
    change(&mut claims);
    format!(
        "Bearer {}",
        sign_jws(
            &key(n),
            &json!({"alg": "EdDSA", "kid": format!("k{n}")}),
            &claims
        )
    )
}

fn default_token(n: u8, tenant: &str) -> String {
    token(n, tenant, |_| ())
}

/// Starts a backend that authenticates callers with key sets of this issuer. Its runtime is not ready yet; `change` may
/// edit the start file.
fn start_backend(issuer: &Issuer, change: impl FnOnce(&mut Value)) -> Backend {
    let backend = Backend::start_before_runtime(|config| {
        config["settings"]["tenants"] = json!([{}, {}]);
        config["identity"] = json!({
            "issuer": "office", "audience": "asterdale", "roots": [root().public_key_text()],
            "keys": {"fetch": {"at": issuer.address, "path": "/keys", "every_ms": 50}}, "skew_ms": 100,
            "roles": [{"name": "phone", "stages": ["bid", "page"]},
                {"name": "clerk", "stages": ["page"], "max_cost_ms": 20, "open": 1, "per_s": 0.001, "burst": 2}],
            "tenants": [{"name": "north", "customer": 0, "roles": ["phone", "clerk"]},
                {"name": "south", "customer": 1, "roles": ["phone"]}]});
        change(config);
    });
    drop(backend.connect()); // it listens, so its signal handlers are installed
    backend
}

fn start_issuer_and_backend() -> (Issuer, Backend) {
    let issuer = Issuer::start().unwrap();
    issuer.publish(1, key_set(1, json!({"tokens": ["gone"]})));
    let backend = start_backend(&issuer, |_| ());
    backend.runtime.set_ready();
    backend.counters_until(|count| count("keys_adopted") == 1 && count("links") == 1);
    (issuer, backend)
}

fn request(
    edge: &mut EdgeConnection,
    number: u16,
    class: &str,
    id: &str,
    other: &[(&str, &str)],
) -> Response {
    edge.send_task(number, class, id, other);
    edge.read_response().expect("the connection ended")
}

/// Checks that a page is run for this caller, who gets the result.
fn assert_page_is_served(
    backend: &Backend,
    edge: &mut EdgeConnection,
    number: u16,
    id: &str,
    token: &str,
) {
    edge.send_task(number, "page", id, &[authorization(token)]);
    assert_eq!(backend.runtime.expect_command("start")["rid"], id);
    backend.runtime.send_run_end(id, "PASS", b"");
    assert_eq!(edge.expect_status(number), "200");
}

fn authorization(token: &str) -> (&str, &str) {
    ("HTTP_AUTHORIZATION", token)
}

fn denied(answer: &Response) -> (&str, &str) {
    let reason = answer
        .head
        .lines()
        .find_map(|line| line.strip_prefix("X-Denied: "));
    (answer.status(), reason.unwrap_or("-"))
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn known_callers_are_served_and_unknown_ones_rejected_before_their_request_is_read() {
    let (_issuer, backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    for (n, id) in [(1, ID_A), (2, ID_B)] {
        let token = default_token(n, "north");
        edge.send_task(
            n.into(),
            "bid",
            id,
            &[authorization(&token), ("HTTP_IDEMPOTENCY_KEY", id)],
        );
        assert_eq!(backend.runtime.expect_command("start")["rid"], id);
        backend.runtime.send_run_end(id, "PASS", b"sold");
        assert_eq!(edge.expect_status(n.into()), "200");
    }
    let forged = format!("{}x", default_token(2, "north"));
    let expired = token(2, "north", |claims| claims["exp"] = json!(1000));
    let early = token(2, "north", |claims| claims["nbf"] = json!(1e12));
    let gone = token(2, "north", |claims| claims["jti"] = json!("gone"));
    let other_issuer = token(2, "north", |claims| claims["iss"] = json!("other"));
    let none = sign_jws(&key(2), &json!({"alg": "none", "kid": "k2"}), &json!({}));
    let basic = "Basic YTpi".to_owned();
    let bad = [
        String::new(),
        forged,
        expired,
        early,
        gone,
        other_issuer,
        none,
        basic,
        default_token(3, "north"),
        default_token(4, "north"),
        default_token(5, "north"),
    ];
    for (n, token) in bad.iter().enumerate() {
        let answer = request(
            &mut edge,
            10 + n as u16,
            "bid",
            ID_C,
            &[authorization(token), KEY],
        );
        assert_eq!(denied(&answer), ("401", "unknown"), "{token}");
        assert!(answer.head.contains("WWW-Authenticate: Bearer\r\n"));
    }
    let unknown = default_token(2, "nowhere");
    assert_eq!(
        denied(&request(
            &mut edge,
            30,
            "bid",
            ID_C,
            &[authorization(&unknown), KEY]
        )),
        ("403", "forbidden")
    );
    assert_eq!(backend.runtime.try_next_command(), None);
    // None of them was accepted: only the first two requests reached the policies.
    backend.counters_until(|count| {
        count("tasks_taken") == 2
            && count("callers_unknown") == 11
            && count("callers_forbidden") == 1
    });
}

#[test]
fn a_role_permits_its_request_classes_within_its_limits_and_excess_gets_a_retry_after() {
    let (_issuer, backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    let clerk = token(2, "north", |claims| claims["roles"] = json!(["clerk"]));
    let foreign = token(2, "south", |claims| claims["roles"] = json!(["clerk"]));
    assert_eq!(
        denied(&request(
            &mut edge,
            1,
            "bid",
            ID_A,
            &[authorization(&clerk), KEY]
        )),
        ("403", "forbidden")
    );
    assert_eq!(
        denied(&request(
            &mut edge,
            2,
            "page",
            ID_A,
            &[authorization(&foreign)]
        )),
        ("403", "forbidden")
    );
    let expensive = [authorization(&clerk), ("HTTP_X_COST_MS", "20.5")];
    assert_eq!(
        denied(&request(&mut edge, 3, "page", ID_A, &expensive)),
        ("403", "forbidden")
    );
    edge.send_task(4, "page", ID_A, &[authorization(&clerk)]);
    backend.runtime.expect_command("start");
    // The role has one concurrency permit, which is released when the run ends; then its rate is the limit.
    assert_eq!(
        denied(&request(
            &mut edge,
            5,
            "page",
            ID_B,
            &[authorization(&clerk)]
        )),
        ("429", "over")
    );
    backend.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(edge.expect_status(4), "200");
    assert_page_is_served(&backend, &mut edge, 6, ID_B, &clerk);
    let answer = request(&mut edge, 7, "page", ID_C, &[authorization(&clerk)]);
    assert_eq!(denied(&answer), ("429", "over"));
    assert!(answer.head.contains("Retry-After-Ms: "), "{}", answer.head);
    assert_eq!(backend.runtime.try_next_command(), None);
}

/// Guards against 429, which states that a request never ran, for a repeat of one that ran or runs.
#[test]
fn repeats_get_their_result_or_join_their_run_while_the_quota_of_their_caller_is_used_up() {
    let issuer = Issuer::start().unwrap();
    issuer.publish(1, key_set(1, json!({})));
    let backend = start_backend(&issuer, |config| {
        config["identity"]["roles"][0]["open"] = json!(1);
        config["identity"]["roles"][0]["per_s"] = json!(0.001);
        config["identity"]["roles"][0]["burst"] = json!(2);
    });
    backend.runtime.set_ready();
    backend.counters_until(|count| count("keys_adopted") == 1 && count("links") == 1);
    let mut edge = backend.connect();
    let caller = default_token(2, "north");
    let served = [authorization(&caller), KEY];
    let running = [authorization(&caller), ("HTTP_IDEMPOTENCY_KEY", "runs")];
    let new = [authorization(&caller), ("HTTP_IDEMPOTENCY_KEY", "new")];
    edge.send_task(1, "bid", ID_A, &served);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.expect_status(1), "200");
    edge.send_task(2, "bid", ID_B, &running);
    backend.runtime.expect_command("start");

    let answer = request(&mut edge, 3, "bid", ID_C, &new);
    assert_eq!(denied(&answer), ("429", "over"));
    assert_eq!(request(&mut edge, 4, "bid", ID_C, &served).body, b"sold");
    edge.send_task(5, "bid", ID_C, &running);
    backend.counters_until(|count| count("tasks_open") == 2);
    backend.runtime.send_run_end(ID_B, "PASS", b"sold");
    for _ in 0..2 {
        assert_eq!(edge.read_response().unwrap().status(), "200");
    }
    // Both places are free again; the rate is not.
    let answer = request(&mut edge, 6, "bid", ID_C, &new);
    assert_eq!(denied(&answer), ("429", "over"));
    assert_eq!(request(&mut edge, 7, "bid", ID_C, &served).body, b"sold");
    assert_eq!(backend.runtime.try_next_command(), None);
}

#[test]
fn a_retry_gets_its_result_with_a_new_token_and_another_tenant_does_not() {
    let (issuer, backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    let old = default_token(1, "north");
    edge.send_task(1, "bid", ID_A, &[authorization(&old), KEY]);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.read_response().unwrap().body, b"sold");
    // The signing key is retired; a new token of the next key gets the result.
    let mut next: Value =
        json!({"seq": 2, "issued_ms": unix_ms(), "revoked": {"tokens": ["gone"]}});
    next["keys"] = json!([{"kty": "OKP", "crv": "Ed25519", "kid": "k2", "x": key(2).public_key_text(), "from_ms": 0}]);
    let head =
        json!({"alg": "EdDSA", "kid": "root", "typ": asterdale_identity::keyring::KEY_SET_TYPE});
    issuer.publish(2, sign_jws(&root(), &head, &next));
    backend.counters_until(|count| count("keys_adopted") == 2);
    assert_eq!(
        denied(&request(
            &mut edge,
            2,
            "bid",
            ID_B,
            &[authorization(&old), KEY]
        )),
        ("401", "unknown")
    );
    let new = default_token(2, "north");
    assert_eq!(
        request(&mut edge, 3, "bid", ID_B, &[authorization(&new), KEY]).body,
        b"sold"
    );
    // Without permission for the request class there is no result either.
    let clerk = token(2, "north", |claims| claims["roles"] = json!(["clerk"]));
    assert_eq!(
        denied(&request(
            &mut edge,
            4,
            "bid",
            ID_B,
            &[authorization(&clerk), KEY]
        )),
        ("403", "forbidden")
    );
    // The other tenant's request with the same idempotency key is a separate request.
    let south = default_token(2, "south");
    edge.send_task(5, "bid", ID_C, &[authorization(&south), KEY]);
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_C);
    backend.runtime.send_run_end(ID_C, "PASS", b"other");
    assert_eq!(edge.read_response().unwrap().body, b"other");
    assert_eq!(
        request(&mut edge, 6, "bid", ID_D, &[authorization(&new), KEY]).body,
        b"sold"
    );
}

#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn revoking_a_caller_ends_queued_requests_keeps_running_ones_and_blocks_retries() {
    let issuer = Issuer::start().unwrap();
    issuer.publish(1, key_set(1, json!({})));
    let backend = start_backend(&issuer, |config| {
        config["settings"]["extra"]["cores"] = json!(1)
    });
    backend.runtime.set_ready();
    backend.counters_until(|count| count("links") == 1 && count("keys_adopted") == 1);
    let (mut edge, mut other) = (backend.connect(), backend.connect());
    let (ann, bob) = (
        default_token(2, "north"),
        token(2, "south", |claims| claims["sub"] = json!("bob")),
    );
    edge.send_task(1, "bid", ID_A, &[authorization(&ann), KEY]);
    backend.runtime.expect_command("start");
    // These are queued: the limit is at its minimum, one core.
    let queued = [(2, ID_B), (3, ID_C)];
    for (number, id) in queued {
        edge.send_task(
            number,
            "bid",
            id,
            &[authorization(&ann), ("HTTP_IDEMPOTENCY_KEY", id)],
        );
    }
    other.send_task(1, "bid", ID_D, &[authorization(&bob), KEY]);
    backend.counters_until(|count| count("tasks_taken") == 4);
    issuer.publish(2, key_set(2, json!({"subjects": ["north/ann"]})));
    let mut ended = [edge.read_response().unwrap(), edge.read_response().unwrap()];
    ended.sort_by_key(|answer| answer.request);
    assert_eq!(ended.each_ref().map(denied), [("401", "unknown"); 2]);
    assert_eq!(ended.map(|answer| answer.request), [2, 3]);
    // The running request continues; its permit goes to the other tenant, and to no revoked caller.
    backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.read_response().unwrap().body, b"sold");
    assert_eq!(backend.runtime.expect_command("start")["rid"], ID_D);
    backend.runtime.send_run_end(ID_D, "PASS", b"his");
    assert_eq!(other.read_response().unwrap().body, b"his");
    for number in 4..7 {
        assert_eq!(
            denied(&request(
                &mut edge,
                number,
                "bid",
                ID_B,
                &[authorization(&ann), KEY]
            )),
            ("401", "unknown")
        );
    }
    // The result was retained: another subject of the tenant gets it.
    let colleague = token(2, "north", |claims| claims["sub"] = json!("eve"));
    assert_eq!(
        request(&mut edge, 7, "bid", ID_B, &[authorization(&colleague), KEY]).body,
        b"sold"
    );
    assert_eq!(backend.runtime.try_next_command(), None);
    backend.counters_until(|count| count("tasks_revoked") == 2 && count("tasks_open") == 0);
}

#[test]
fn without_a_current_key_set_callers_are_unavailable_and_requests_that_ran_are_not_denied() {
    let issuer = Issuer::start().unwrap();
    let backend = start_backend(&issuer, |config| {
        config["identity"]["max_age_ms"] = json!(1500)
    });
    backend.runtime.set_ready();
    let mut edge = backend.connect();
    let good = default_token(2, "north");
    let answer = request(&mut edge, 1, "bid", ID_A, &[authorization(&good), KEY]);
    assert_eq!(denied(&answer), ("503", "unable"));
    assert!(
        answer.head.contains("Retry-After-Ms: 1000\r\n"),
        "{}",
        answer.head
    );
    issuer.publish(1, key_set(1, json!({})));
    backend.counters_until(|count| count("keys_adopted") == 1);
    edge.send_task(2, "bid", ID_A, &[authorization(&good), KEY]);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.expect_status(2), "200");
    issuer.set_behavior(Behavior::Down);
    let other = [authorization(&good), ("HTTP_IDEMPOTENCY_KEY", "other")];
    let mut number = 2;
    wait_until("the expiry of the key set", || {
        number += 1;
        let answer = request(&mut edge, number, "bid", ID_B, &[authorization(&good), KEY]);
        assert!(answer.status() == "500" || answer.body == b"sold");
        answer.status() == "500"
    });
    // If a request with this idempotency key ran, the response does not say that it never ran; for another key it does.
    assert_eq!(
        denied(&request(
            &mut edge,
            901,
            "bid",
            ID_B,
            &[authorization(&good), KEY]
        )),
        ("500", "-")
    );
    assert_eq!(
        denied(&request(&mut edge, 902, "bid", ID_B, &other)),
        ("503", "unable")
    );
    issuer.publish(2, key_set(2, json!({})));
    issuer.set_behavior(Behavior::Good);
    backend.counters_until(|count| count("keys_adopted") == 2 && count("issuer_failed") >= 1);
    assert_eq!(
        request(&mut edge, 903, "bid", ID_B, &[authorization(&good), KEY]).body,
        b"sold"
    );
}

#[test]
fn a_faulty_issuer_changes_nothing() {
    let (issuer, backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    issuer.publish(2, key_set(2, json!({"subjects": ["north/bob"]})));
    backend.counters_until(|count| count("keys_adopted") == 2);
    let other_root = SecretKey::from_seed([66; 32], "root");
    let head =
        json!({"alg": "EdDSA", "kid": "root", "typ": asterdale_identity::keyring::KEY_SET_TYPE});
    issuer.set_forged_key_set(sign_jws(
        &other_root,
        &head,
        &json!({"seq": 9, "issued_ms": unix_ms(), "keys": []}),
    ));
    let good = default_token(2, "north");
    let bob = token(2, "north", |claims| claims["sub"] = json!("bob"));
    for (n, behavior) in [
        Behavior::RolledBack,
        Behavior::Malformed,
        Behavior::Forged,
        Behavior::Down,
    ]
    .into_iter()
    .enumerate()
    {
        let (failed, refused) = (
            std::cell::Cell::new(u64::MAX),
            std::cell::Cell::new(u64::MAX),
        );
        backend.counters_until(|count| {
            failed.set(count("issuer_failed"));
            refused.set(count("keys_refused"));
            true
        });
        issuer.set_behavior(behavior);
        backend.counters_until(|count| {
            count("issuer_failed") > failed.get() || count("keys_refused") > refused.get()
        });
        let number = 10 * n as u16 + 1;
        assert_eq!(
            denied(&request(
                &mut edge,
                number,
                "bid",
                ID_B,
                &[authorization(&bob), KEY]
            )),
            ("401", "unknown")
        );
        assert_page_is_served(&backend, &mut edge, number + 1, ID_A, &good);
    }
}

#[test]
fn a_reloaded_start_file_changes_permissions_at_once_and_can_not_disable_identity() {
    let (issuer, mut backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    let good = default_token(2, "north");
    assert_page_is_served(&backend, &mut edge, 1, ID_A, &good);
    let without = backend
        .edit_start_file(|config| config["identity"]["tenants"][0]["roles"] = json!(["clerk"]));
    backend.reload(&without);
    backend.counters_until(|count| count("reloads") == 1);
    assert_eq!(
        denied(&request(
            &mut edge,
            2,
            "page",
            ID_B,
            &[authorization(&good)]
        )),
        ("403", "forbidden")
    );
    let open =
        backend.edit_start_file(|config| drop(config.as_object_mut().unwrap().remove("identity")));
    backend.reload(&open);
    backend.counters_until(|count| count("reloads_failed") == 1);
    assert_eq!(
        denied(&request(&mut edge, 3, "page", ID_B, &[])),
        ("401", "unknown")
    );
    drop(issuer);
}

#[test]
fn a_key_set_file_is_read_at_the_start_and_on_each_reload() {
    let file = std::env::temp_dir().join(format!("asterdale-set-{}", std::process::id()));
    std::fs::write(&file, key_set(1, json!({}))).unwrap();
    let issuer = Issuer::start().unwrap();
    let mut backend = start_backend(&issuer, |config| {
        config["identity"]["keys"] = json!({"file": file})
    });
    backend.runtime.set_ready();
    backend.counters_until(|count| count("links") == 1);
    let mut edge = backend.connect();
    let good = default_token(2, "north");
    assert_page_is_served(&backend, &mut edge, 1, ID_A, &good);
    std::fs::write(&file, key_set(2, json!({"keys": ["k2"]}))).unwrap();
    let same = backend.edit_start_file(|_| ());
    backend.reload(&same);
    backend.counters_until(|count| count("keys_adopted") == 2);
    assert_eq!(
        denied(&request(
            &mut edge,
            2,
            "page",
            ID_B,
            &[authorization(&good)]
        )),
        ("401", "unknown")
    );
    // A malformed key set is rejected, and the last one stays in use.
    std::fs::write(&file, "rubbish").unwrap();
    backend.reload(&same);
    backend.counters_until(|count| count("keys_refused") == 1);
    assert_eq!(
        denied(&request(
            &mut edge,
            3,
            "page",
            ID_B,
            &[authorization(&good)]
        )),
        ("401", "unknown")
    );
    std::fs::remove_file(&file).unwrap();
}

#[test]
fn health_checks_need_no_token_and_tokens_are_ignored_without_identity() {
    let (_issuer, backend) = start_issuer_and_backend();
    let mut edge = backend.connect();
    edge.send(&asterdale_testkit::scripted::request(
        1,
        "/healthz",
        &[],
        b"",
    ));
    assert_eq!(edge.expect_status(1), "200");
    let open = Backend::start();
    let mut edge = open.connect();
    edge.send_task(1, "page", ID_A, &[authorization("Bearer rubbish")]);
    open.runtime.expect_command("start");
    open.runtime.send_run_end(ID_A, "PASS", b"");
    assert_eq!(edge.expect_status(1), "200");
}

#[cfg(feature = "upgrade")]
#[test]
#[expect(
    clippy::too_many_lines,
    reason = "one scenario, read from top to bottom"
)]
fn a_new_process_keeps_callers_concurrency_permits_and_the_tenants_of_results() {
    let folder = std::env::temp_dir().join(format!("asterdale-known-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::set_permissions(&folder, std::os::unix::fs::PermissionsExt::from_mode(0o700)).unwrap();
    let issuer = Issuer::start().unwrap();
    issuer.publish(1, key_set(1, json!({"keys": ["k1"]})));
    let backend = start_backend(&issuer, |config| {
        config["upgrade"] = json!({"control": folder.join("control")})
    });
    backend.runtime.set_ready();
    backend.counters_until(|count| count("keys_adopted") == 1 && count("links") == 1);
    let mut edge = backend.connect();
    let (north, south) = (default_token(2, "north"), default_token(2, "south"));
    edge.send_task(1, "bid", ID_A, &[authorization(&north), KEY]);
    backend.runtime.expect_command("start");
    backend.runtime.send_run_end(ID_A, "PASS", b"sold");
    assert_eq!(edge.expect_status(1), "200");
    let clerk = token(2, "north", |claims| claims["roles"] = json!(["clerk"]));
    edge.send_task(2, "page", ID_B, &[authorization(&clerk)]);
    backend.runtime.expect_command("start");
    // From here on the issuer does not respond: what the new process knows came with the state.
    issuer.set_behavior(Behavior::Down);
    backend.signal("-USR2");
    wait_until("the new process", || {
        backend.log().contains("hot restart: state restored")
    });
    let mut edge = backend.connect();
    assert_eq!(
        denied(&request(
            &mut edge,
            1,
            "bid",
            ID_C,
            &[authorization(&default_token(1, "north")), KEY]
        )),
        ("401", "unknown")
    );
    assert_eq!(
        denied(&request(
            &mut edge,
            2,
            "page",
            ID_C,
            &[authorization(&clerk)]
        )),
        ("429", "over"),
        "the only concurrency permit is in use"
    );
    assert_eq!(
        request(&mut edge, 3, "bid", ID_C, &[authorization(&north), KEY]).body,
        b"sold"
    );
    edge.send_task(4, "bid", ID_D, &[authorization(&south), KEY]);
    wait_until("the start", || {
        backend
            .runtime
            .try_next_command()
            .is_some_and(|command| command["rid"] == ID_D)
    });
    backend.runtime.send_run_end(ID_D, "PASS", b"other");
    assert_eq!(edge.read_response().unwrap().body, b"other");
    for process in asterdale_testkit::proofs::upgrade::processes(backend.start_file()) {
        asterdale_testkit::proofs::upgrade::signal(process, "KILL");
    }
    std::fs::remove_dir_all(folder).unwrap();
}
