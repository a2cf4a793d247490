//! The two identity checks of a request: authentication of the caller, and authorization of the request.

use std::sync::Arc;

use asterdale::parameters::Idempotency;
use asterdale_identity::failpoint::{self, Failpoint};
use asterdale_identity::{
    AccessRequest, Caller, ConcurrencyPermit, Credentials, DenialReason, DenialStatus,
};

use crate::log::LogLimit;
use crate::message::{
    request_id_text, IdempotencyKey, KeyRefresh, Reply, RequestHead, RequestId, TaskId,
};
use crate::tasks::{TaskRecord, Tasks};

impl Tasks {
    /// The first check: authenticates the caller, and assigns the idempotency key to the caller's tenant. Changes no
    /// state of the policies.
    ///
    /// # Errors
    /// The reply to a caller that is not authenticated.
    pub fn authenticate(
        &mut self,
        credentials: Credentials<'_>,
        head: &mut RequestHead,
    ) -> Result<Option<Arc<Caller>>, Reply> {
        let Some(identity) = &mut self.identity_gate.identity else {
            return Ok(None);
        };
        let denied = match identity.authenticate(self.now, credentials) {
            Ok(caller) => {
                let key = head.idempotency_key.as_mut();
                if let Some(key) =
                    key.filter(|_| !failpoint::is_active(Failpoint::KeyWithoutTenant))
                {
                    key.tenant = caller.tenant;
                }
                return Ok(Some(caller));
            }
            Err(denied) => denied,
        };
        if let (DenialReason::KeyUnknown, Some(issuer)) =
            (denied.reason, &self.identity_gate.key_refresh)
        {
            // A full channel means that a refresh has already been requested.
            let _ = issuer.try_send(KeyRefresh::Requested);
        }
        self.log_denied(&head.id, head.class, "", denied.reason);
        let reply = self.identity_gate.denial_reply(denied);
        // While callers cannot be authenticated, the reply states that this attempt never ran. That is true of this
        // attempt, but an earlier one under the same key may have run. For a key that is known for any tenant, the
        // reply must therefore state nothing about whether the request ran.
        let is_unable = denied.reason.status() == DenialStatus::Unavailable;
        let key = head.idempotency_key.as_ref();
        if is_unable && self.is_retained_for_any_tenant(key) {
            return Err(Reply::Failed);
        }
        Err(reply)
    }

    /// Whether a task of any tenant is retained under this key, which is that of a keyed request.
    fn is_retained_for_any_tenant(&self, key: Option<&IdempotencyKey>) -> bool {
        let (Some(key), Some(identity)) = (key, &self.identity_gate.identity) else {
            return false;
        };
        if self.settings.decisions.classes[key.class].idempotency != Idempotency::Keyed {
            return false;
        }
        (0..identity.authorizer().tenant_count()).any(|tenant| {
            let key = IdempotencyKey {
                tenant,
                ..key.clone()
            };
            self.idempotency.is_retained(&key)
        })
    }

    /// The second check: authorizes the request of an authenticated caller.
    ///
    /// # Errors
    /// The reply to a caller that is not authorized.
    pub fn authorize(
        &mut self,
        caller: Option<&Caller>,
        head: &RequestHead,
        is_repeat: bool,
    ) -> Result<Option<ConcurrencyPermit>, Reply> {
        let (Some(identity), Some(caller)) = (&mut self.identity_gate.identity, caller) else {
            return Ok(None);
        };
        let request = AccessRequest {
            request_class: head.class,
            declared_cost_ms: head.cost_hint_ms,
            is_repeat,
        };
        identity
            .authorize(self.now, caller, &request)
            .map_err(|denied| {
                self.log_denied(&head.id, head.class, &caller.claims.tenant, denied.reason);
                self.identity_gate.denial_reply(denied)
            })
    }

    fn log_denied(&self, id: &RequestId, class: usize, tenant: &str, reason: DenialReason) {
        static DENIED: LogLimit = LogLimit::new();
        if self.log.allows(&DENIED) {
            slog::warn!(self.log.lines, "identity: caller denied";
                "id" => request_id_text(id), "class" => &self.settings.class_names[class],
                "tenant" => tenant, "reason" => ?reason);
        }
    }

    /// The unanswered tasks that have not started and whose caller has been revoked, with the reply to each.
    pub fn revoked_tasks(&self) -> Vec<(TaskId, Reply)> {
        let Some(identity) = &self.identity_gate.identity else {
            return Vec::new();
        };
        let revoked = |record: &TaskRecord| {
            let is_queued = record.responder.is_some() && !record.started;
            let caller = record.caller.as_ref().filter(|_| is_queued)?;
            let denied = identity.revocation(caller)?.into();
            Some((record.number, self.identity_gate.denial_reply(denied)))
        };
        self.slots.iter().flatten().filter_map(revoked).collect()
    }
}
