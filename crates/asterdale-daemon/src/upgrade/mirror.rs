//! Events that the new process mirrors to the old one, as messages. If the old process has to take over again, it knows
//! from them everything that was started.

use asterdale_engine::message::{IdempotencyKey, RequestId, TaskId};
use asterdale_engine::state_transfer::MirroredEvent;
use asterdale_hot_restart::message::Mirror;

// Numbers of the kinds of event in messages.
const KEY_RETAINED: u32 = 0;
const TASK_STARTED: u32 = 1;
const TASK_ENDED: u32 = 2;
const KEY_DROPPED: u32 = 3;

/// Makes the message of an event.
pub fn mirror_frame(event: MirroredEvent) -> Mirror {
    let key_event = |key: IdempotencyKey, owner: TaskId, event: u32| Mirror {
        idempotency_key: key.bytes.to_vec(),
        request_class: key.class as u32,
        tenant: key.tenant,
        owner,
        event,
        ..Mirror::default()
    };
    match event {
        MirroredEvent::KeyRetained {
            key,
            owner,
            body_digest,
            until_ms,
        } => Mirror {
            body_digest,
            expires_ms: until_ms,
            ..key_event(key, owner, KEY_RETAINED)
        },
        MirroredEvent::TaskStarted {
            id,
            key: Some((key, owner)),
        } => Mirror {
            request_id: id.to_vec(),
            ..key_event(key, owner, TASK_STARTED)
        },
        MirroredEvent::TaskStarted { id, key: None } => Mirror {
            request_id: id.to_vec(),
            event: TASK_STARTED,
            ..Mirror::default()
        },
        MirroredEvent::TaskEnded { key, owner, result } => Mirror {
            result: result.map(|result| result.to_vec()),
            ..key_event(key, owner, TASK_ENDED)
        },
        MirroredEvent::KeyDropped { key, owner } => key_event(key, owner, KEY_DROPPED),
    }
}

/// Reads the event of a message; `None` if it is malformed, or of a kind that this release does not know.
pub fn mirrored_event(frame: Mirror) -> Option<MirroredEvent> {
    let owner = frame.owner;
    let key = IdempotencyKey {
        class: frame.request_class as usize,
        tenant: frame.tenant,
        bytes: frame.idempotency_key.into(),
    };
    Some(match frame.event {
        KEY_RETAINED => MirroredEvent::KeyRetained {
            key,
            owner,
            body_digest: frame.body_digest,
            until_ms: frame.expires_ms,
        },
        TASK_STARTED => MirroredEvent::TaskStarted {
            id: RequestId::try_from(frame.request_id.as_slice()).ok()?,
            key: (!key.bytes.is_empty()).then_some((key, owner)),
        },
        TASK_ENDED => MirroredEvent::TaskEnded {
            key,
            owner,
            result: frame.result.map(Into::into),
        },
        KEY_DROPPED => MirroredEvent::KeyDropped { key, owner },
        _ => return None,
    })
}
