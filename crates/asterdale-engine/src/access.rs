//! The two gates that a task passes, as the table of tasks has them: [`crate::callers`] asks, and here its verdicts
//! meet marks, fingerprints and what is open.

use std::sync::Arc;

use asterdale_identity::failpoint::{self, Failpoint};
use asterdale_identity::{Ask, Caller, Kind as Said, Seat, Why};

use crate::log::{Kind, Log};
use crate::message::{request_id_text, IdempotencyKey, KeyRefresh, Reply, RequestId, TaskId};
use crate::tasks::{Slot, Tasks};

fn log_denied(log: &Log, id: &RequestId, stage: &str, tenant: &str, why: Why) {
    static AWAY: Kind = Kind::new();
    if log.allows(&AWAY) {
        slog::warn!(log.lines, "identity: a caller is turned away";
            "id" => request_id_text(id), "stage" => stage, "tenant" => tenant, "why" => ?why);
    }
}

impl Tasks {
    /// The first gate: who is calling. The mark is the tenant's from then on. Nothing of the module is touched.
    pub fn identify_caller(
        &mut self,
        ask: Ask<'_>,
        (id, stage): (RequestId, usize),
        mark: &mut Option<IdempotencyKey>,
    ) -> Result<Option<Arc<Caller>>, Reply> {
        let now = self.now;
        let Some(identity) = &mut self.identity_gate.identity else {
            return Ok(None);
        };
        match identity.identify(now, ask) {
            Ok(caller) => {
                if let Some(mark) = mark
                    .as_mut()
                    .filter(|_| !failpoint::is_active(Failpoint::Mark))
                {
                    mark.tenant = caller.tenant;
                }
                Ok(Some(caller))
            }
            Err(denied) => {
                if let (Why::KeyUnknown, Some(issuer)) = (denied.why, &self.identity_gate.issuer) {
                    let _ = issuer.try_send(KeyRefresh::Requested);
                }
                log_denied(
                    &self.log,
                    &id,
                    &self.settings.class_names[stage],
                    "",
                    denied.why,
                );
                let reply = self.identity_gate.denial_reply(denied);
                // A caller that can't be judged is told that this try never ran. That is so; but of a key under
                // which something has run, whoever's it is, nothing is said that could be taken for more.
                let unable = denied.why.kind() == Said::Unable;
                Err(
                    if unable && self.known_somewhere(mark.as_ref(), ask.arrived_ms) {
                        Reply::Failed
                    } else {
                        reply
                    },
                )
            }
        }
    }

    /// Whether any tenant's task is remembered under this mark.
    fn known_somewhere(&self, mark: Option<&IdempotencyKey>, arrived: f64) -> bool {
        let (Some(mark), Some(identity)) = (mark, &self.identity_gate.identity) else {
            return false;
        };
        (0..identity.rights().tenants()).any(|tenant| {
            self.idempotency.is_repeat(
                &IdempotencyKey {
                    tenant,
                    ..mark.clone()
                },
                arrived,
            )
        })
    }

    /// The second gate: whether this caller may have this task now.
    pub fn permit_request(
        &mut self,
        caller: Option<&Caller>,
        (id, stage): (RequestId, usize),
        hint_ms: Option<f64>,
        repeat: bool,
    ) -> Result<Option<Seat>, Reply> {
        let (Some(identity), Some(caller)) = (&mut self.identity_gate.identity, caller) else {
            return Ok(None);
        };
        identity
            .permit(self.now, caller, stage, hint_ms, repeat)
            .map_err(|denied| {
                let tenant = &caller.claims.tenant;
                log_denied(
                    &self.log,
                    &id,
                    &self.settings.class_names[stage],
                    tenant,
                    denied.why,
                );
                self.identity_gate.denial_reply(denied)
            })
    }

    /// Tasks that wait for an answer, have not been started, and whose caller is revoked by now; with what to
    /// tell him.
    pub fn revoked_tasks(&self) -> Vec<(TaskId, Reply)> {
        let Some(identity) = &self.identity_gate.identity else {
            return Vec::new();
        };
        let revoked = |slot: &Slot| {
            let caller = slot
                .caller
                .as_ref()
                .filter(|_| slot.back.is_some() && !slot.started)?;
            Some((
                slot.number,
                self.identity_gate.denial_reply(identity.revoked(caller)?.into()),
            ))
        };
        self.slots.iter().flatten().filter_map(revoked).collect()
    }
}
