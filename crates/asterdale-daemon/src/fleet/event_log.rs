//! Writes a log line for each event of membership and ownership.

use asterdale_membership::Event;
use asterdale_ownership::OwnershipEvent;

/// Logs a change in the group of replicas, or of this process's lease.
pub fn log_ownership_event(lines: &slog::Logger, event: &OwnershipEvent) {
    match event {
        OwnershipEvent::GroupFormed(group, quiet_ms) => {
            slog::warn!(lines, "takeover: replica group formed, no claims before the retry windows have passed";
                "group" => group, "quiet_ms" => quiet_ms);
        }
        OwnershipEvent::GroupJoined(group) => {
            slog::info!(lines, "takeover: this replica joined a group"; "group" => group);
        }
        OwnershipEvent::RestoredFromDisk(group) => {
            slog::info!(lines, "takeover: this replica was restored from its disk"; "group" => group);
        }
        OwnershipEvent::BecameLeader(group) => {
            slog::info!(lines, "takeover: this replica leads"; "group" => group);
        }
        OwnershipEvent::LostLeadership(group) => {
            slog::warn!(lines, "takeover: this replica leads no more"; "group" => group);
        }
        OwnershipEvent::GroupAbandoned(group) => {
            slog::error!(lines, "takeover: replica group abandoned, most replicas lost their memory"; "group" => group);
        }
        OwnershipEvent::ReplicaReplaced(name) => {
            slog::info!(lines, "takeover: a replica that returned is a member again"; "name" => name);
        }
        OwnershipEvent::EpochGranted(epoch) => {
            slog::info!(lines, "takeover: epoch granted, this process may claim requests"; "epoch" => epoch);
        }
        OwnershipEvent::EpochEnded(epoch) => {
            slog::error!(lines, "takeover: epoch ended, what this process had claimed may be another's"; "epoch" => epoch);
        }
        OwnershipEvent::LeaseLapsed(epoch) => {
            slog::warn!(lines, "takeover: the lease lapsed, no claimed request is started"; "epoch" => epoch);
        }
        OwnershipEvent::LeaseRestored(epoch) => {
            slog::info!(lines, "takeover: lease restored"; "epoch" => epoch);
        }
    }
}

/// Logs a change of membership.
pub fn log_membership_event(lines: &slog::Logger, event: &Event) {
    match event {
        Event::PriorGeneration(0) => {}
        Event::PriorGeneration(generation) => {
            slog::info!(lines, "fleet: prior generation of this name known"; "generation" => generation);
        }
        Event::Joined(generation) => {
            slog::info!(lines, "fleet: joined"; "generation" => generation);
        }
        Event::MemberChanged {
            name,
            generation,
            change,
            reported_by,
        } => {
            slog::info!(lines, "fleet: member changed"; "name" => name, "generation" => generation,
                "change" => ?change, "reported_by" => reported_by);
        }
        Event::DeclaredDead { reported_by } => {
            slog::warn!(lines, "fleet: this process was declared dead, rejoining"; "reported_by" => reported_by);
        }
        Event::Rejoined(generation) => {
            slog::info!(lines, "fleet: rejoined"; "generation" => generation);
        }
        Event::NameConflict(address) => {
            slog::error!(lines, "fleet: another process may have this name"; "address" => %address);
        }
        Event::Superseded(address) => {
            slog::error!(lines, "fleet: superseded by a newer process of this name"; "address" => %address);
        }
        Event::Paused(pause_ms) => {
            slog::warn!(lines, "fleet: this process was paused"; "pause_ms" => pause_ms.round());
        }
        Event::MajorityChanged(true) => slog::info!(lines, "fleet: majority reachable"),
        Event::MajorityChanged(false) => slog::warn!(lines, "fleet: majority not reachable"),
        Event::VersionRejected {
            min_version,
            max_version,
        } => {
            slog::error!(lines, "fleet: protocol versions of another process rejected";
                "min_version" => min_version, "max_version" => max_version);
        }
    }
}
