//! Health checks. Shallow ones are answered with the policies' verdict. Deep ones ask the runtime, unless that verdict
//! already decides them.

use std::sync::Arc;

use crate::engine::Engine;
use crate::health_check::HealthCheck;
use crate::message::{Connection, Reply, Responder};
use crate::runtime::protocol;

impl Engine {
    pub(crate) fn health_check(&mut self, client: Arc<dyn Connection>, request: u16, deep: bool) {
        let tasks = &mut self.tasks;
        let responder = Responder { client, request };
        tasks.counters.checks.add();
        if !deep || tasks.health_is_cached || !tasks.is_healthy {
            return responder.answer(Reply::HealthChecked(tasks.is_healthy));
        }
        if tasks.runtime.commands.is_none() || tasks.runtime.is_replaying {
            return responder.answer(Reply::HealthChecked(false));
        }
        tasks.last_number += 1;
        let tag = tasks.last_number;
        self.health_checks.insert(tag, HealthCheck::new(responder));
        tasks.send(protocol::self_test(&tag.to_string()));
    }

    /// Handles the runtime's verdict on a deep health check.
    pub(super) fn health_verdict(&mut self, tag: &str, is_healthy: bool) {
        let check = tag
            .parse()
            .ok()
            .and_then(|tag: u64| self.health_checks.remove(&tag));
        if let Some(check) = check {
            check.answer(is_healthy);
        }
    }

    /// Fails the deep health checks, because no verdict will be received.
    pub(crate) fn fail_health_checks(&mut self) {
        for (_, check) in self.health_checks.drain() {
            check.answer(false);
        }
    }

    /// Fails the deep health checks that have timed out.
    pub(crate) fn expire_health_checks(&mut self) {
        self.health_checks.retain(|_, check| {
            let is_expired = check.is_expired();
            if is_expired {
                check.answer(false);
            }
            !is_expired
        });
    }
}
