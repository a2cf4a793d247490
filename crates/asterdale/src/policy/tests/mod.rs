//! Tests of the decisions, one file per policy.

mod admission;
mod calls;
mod capacity_report;
mod dependency;
mod drain;
mod idempotency;
mod limiter;
mod queue;
mod rejection;
mod saturation;
mod support;
