//! Validation of the settings. The error names the first invalid field, in the order of the checks.

use super::{NextLimits, Params, Settings, StateParams, Team};
use rowanmill_config::InvalidField;

/// Minimum number of operations that the state service must allow in a transaction.
const MIN_TRANSACTION_OPERATIONS: usize = 4;
/// Minimum number of sockets that a controller must be allowed to open.
const MIN_SOCKETS: usize = 32;

/// Checks all settings; returns an error for the first invalid field.
pub(super) fn validate(settings: &Settings) -> Result<(), InvalidField> {
    let params = &settings.params;
    if settings.member.is_empty() {
        return Err(InvalidField::new("member", "must not be empty"));
    }
    if params.size == 0 {
        return Err(InvalidField::new("params.size", "must be at least 1"));
    }
    check_numbers(params)?;
    check_operations("params.state.txn_ops", params.state.txn_ops)?;
    check_next_limits(&params.state.next())?;
    check_sockets(params.limits.sockets)?;
    params.teams.iter().try_for_each(check_team)
}

fn check_numbers(params: &Params) -> Result<(), InvalidField> {
    let Params {
        workers,
        state,
        cloud,
        limits,
        ..
    } = params;
    check_positive("params.workers.report_s", workers.report_s)?;
    check_positive("params.workers.lease_s", workers.lease_s)?;
    check_positive("params.workers.gang_wait_s", workers.gang_wait_s)?;
    check_positive("params.workers.gang_peer_s", workers.gang_peer_s)?;
    check_positive("params.workers.cancel_s", workers.cancel_s)?;
    let StateParams {
        rps,
        write_rps,
        value_kb,
        ..
    } = *state;
    check_positive("params.state.rps", rps)?;
    check_positive("params.state.write_rps", write_rps)?;
    check_positive("params.state.value_kb", value_kb)?;
    check_positive("params.cloud.rps", cloud.rps)?;
    check_positive("params.limits.core_share", limits.core_share)?;
    check_positive("params.limits.mem_mb", limits.mem_mb)?;
    check_not_negative("params.cloud.list_lag_s", cloud.list_lag_s)?;
    check_not_negative("params.skew_ms", params.skew_ms)
}

fn check_next_limits(next: &NextLimits) -> Result<(), InvalidField> {
    let numbers = [
        ("params.state.next.rps", next.rps),
        ("params.state.next.write_rps", next.write_rps),
        ("params.state.next.value_kb", next.value_kb),
    ];
    for (field, value) in numbers {
        if let Some(value) = value {
            check_positive(field, value)?;
        }
    }
    match next.txn_ops {
        Some(operations) => check_operations("params.state.next.txn_ops", operations),
        None => Ok(()),
    }
}

fn check_positive(field: &'static str, value: f64) -> Result<(), InvalidField> {
    if !value.is_finite() || value <= 0.0 {
        let reason = format!("must be above 0, is {value}");
        return Err(InvalidField::new(field, reason));
    }
    Ok(())
}

fn check_not_negative(field: &'static str, value: f64) -> Result<(), InvalidField> {
    if !value.is_finite() || value < 0.0 {
        let reason = format!("must not be negative, is {value}");
        return Err(InvalidField::new(field, reason));
    }
    Ok(())
}

fn check_operations(field: &'static str, operations: usize) -> Result<(), InvalidField> {
    if operations < MIN_TRANSACTION_OPERATIONS {
        let reason = format!("must be at least {MIN_TRANSACTION_OPERATIONS}, is {operations}");
        return Err(InvalidField::new(field, reason));
    }
    Ok(())
}

fn check_sockets(sockets: usize) -> Result<(), InvalidField> {
    if sockets < MIN_SOCKETS {
        let reason = format!("must be at least {MIN_SOCKETS}, is {sockets}");
        return Err(InvalidField::new("params.limits.sockets", reason));
    }
    Ok(())
}

fn check_team(team: &Team) -> Result<(), InvalidField> {
    let amounts = [
        team.guaranteed_cpus,
        team.max_cpus,
        team.guaranteed_gpus,
        team.max_gpus,
    ];
    for amount in amounts {
        if !amount.is_finite() || amount < 0.0 {
            let reason = format!("team `{}`: {amount} is not a valid amount", team.name);
            return Err(InvalidField::new("params.teams", reason));
        }
    }
    Ok(())
}
