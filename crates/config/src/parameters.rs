//! Converts settings to the policy's parameters. The settings keys are not used outside this file and `settings`.

use harrierdock_types::{
    ClassParameters, DiscoveryMode, ExposureCounting, IdempotencyScope, LimitParameters,
    LoadReporting, Parameters, PeerId, ReservedParameters, RetrySafety, RolloutParameters,
    SafetyParameters, StageControl, TimeDelta, ZoneId,
};

use crate::error::SettingsError;
use crate::names::{EndpointNames, Names};
use crate::settings::{
    ClassSettings, CountsSetting, DecidedBy, DiscoverySetting, IdempotencySetting, LimitSettings,
    ReportVia, RolloutSettings, SafetySettings, ScopeSetting, Settings, SwapSetting,
};

/// Reads the JSON object in the configuration's `settings` field.
///
/// # Errors
///
/// Fails on the first field that is malformed or out of range.
pub fn read(settings: &serde_json::Value) -> Result<(Parameters, Names), SettingsError> {
    let settings: Settings = serde_path_to_error::deserialize(settings)?;
    settings.check()?;
    let mut names = collect_names(&settings);
    let parameters = Parameters {
        zone: ZoneId(
            names
                .zones
                .insert_full(settings.az.clone().unwrap_or_default())
                .0,
        ),
        gateway_count: settings.balancers.max(1),
        local_peer: PeerId(settings.ordinal),
        clock_resolution: TimeDelta(settings.tick),
        discovery_mode: match settings.discovery {
            DiscoverySetting::OnRequest => DiscoveryMode::Poll,
            DiscoverySetting::Pushed => DiscoveryMode::Push,
        },
        classes: settings.classes.iter().map(class_parameters).collect(),
        rollout: rollout_parameters(&settings.family_info),
        safety: safety_parameters(&settings.safety),
        limits: limit_parameters(&settings.limits),
        clients_mark_retries: settings.clients.marks_retry,
        reserved: reserved_parameters(&settings),
    };
    Ok((parameters, names))
}

fn collect_names(settings: &Settings) -> Names {
    Names {
        classes: settings
            .classes
            .iter()
            .map(|class| class.name.clone())
            .collect(),
        endpoints: EndpointNames::default(),
        tenants: settings
            .tenants
            .iter()
            .map(|tenant| tenant.name.clone())
            .collect(),
        zones: settings.azs.iter().cloned().collect(),
        models: settings.models.iter().cloned().collect(),
    }
}

fn retry_safety(class: &ClassSettings) -> RetrySafety {
    let scope = match class.group {
        Some(ScopeSetting::All) => IdempotencyScope::All,
        Some(ScopeSetting::Zone) => IdempotencyScope::Zone,
        Some(ScopeSetting::Cell) | None => IdempotencyScope::Cell,
    };
    match class.idempotency {
        IdempotencySetting::Safe => RetrySafety::Idempotent,
        IdempotencySetting::Keyed => RetrySafety::IdempotencyKey {
            scope,
            deduplication_window: TimeDelta(class.memory_span),
        },
        IdempotencySetting::Unsafe => RetrySafety::NonIdempotent,
    }
}

fn class_parameters(class: &ClassSettings) -> ClassParameters {
    ClassParameters {
        retry_safety: retry_safety(class),
        latency_objective: TimeDelta(class.aim),
        timeout: TimeDelta(class.give_up),
        priority_weight: class.worth,
        late_value_ratio: class.late_worth,
    }
}

fn rollout_parameters(settings: &RolloutSettings) -> RolloutParameters {
    RolloutParameters {
        stage_control: match settings.decided_by {
            DecidedBy::Clocked => StageControl::Clock,
            DecidedBy::Single | DecidedBy::Majority => StageControl::Votes,
        },
        exposure_limits: settings.exposure_caps.clone(),
        stage_ratios: settings.steps.clone(),
        exposure_counting: match settings.counts {
            CountsSetting::PerLane => ExposureCounting::PerClass,
            CountsSetting::All => ExposureCounting::Combined,
        },
        exposure_window: TimeDelta(settings.counted_over),
        exposure_allowance: settings.spare_tries,
        guarded_stages: settings.guarded_stages,
        monotonic_versions: settings.one_way,
        vote_ttl: TimeDelta(settings.vote_life),
        vote_timeout: TimeDelta(settings.vote_wait),
        votes_per_second: settings.api_rate,
        complaint_ratio: settings.flag_share,
    }
}

fn safety_parameters(settings: &SafetySettings) -> SafetyParameters {
    SafetyParameters {
        initial_capacity_ratio: settings.cold_from,
        slow_start_window: TimeDelta(settings.ramp_time),
        overload_window: TimeDelta(settings.fall),
        overload_multiple: settings.fall_multiple,
        max_poll_interval: TimeDelta(settings.must_ask_in),
        drain_grace: TimeDelta(settings.drain_grace),
    }
}

fn limit_parameters(settings: &LimitSettings) -> LimitParameters {
    LimitParameters {
        max_attempts: settings.max_attempts.max(1),
        can_cancel: settings.cancel,
        gossip_enabled: settings.may_tell,
        retry_after: settings
            .retry_after
            .then_some(TimeDelta(settings.max_retry_after)),
        connect_timeout: TimeDelta(settings.connect_timeout),
        idle_timeout: TimeDelta(settings.conn_idle),
    }
}

fn reserved_parameters(settings: &Settings) -> ReservedParameters {
    ReservedParameters {
        load_reporting: match settings.report.via {
            ReportVia::Answers => LoadReporting::InResponses,
            ReportVia::Probe => LoadReporting::InProbes,
            ReportVia::None => LoadReporting::None,
        },
        tenant_quotas_per_second: settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect(),
        cross_zone_cost: settings.prices.cross_zone,
        warm_keys: settings.family_info.warm_keys,
        surge: settings.family_info.swap == SwapSetting::SideBySide,
        probes_enabled: settings.limits.probes,
    }
}
