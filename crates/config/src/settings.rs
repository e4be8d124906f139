//! The settings under their keys in the configuration, and their validation. Times are in microseconds.
//!
//! The keys are fixed by existing configuration files, so the field names here follow them instead of the code's terms.
//! For example, `aim` is the latency objective, `give_up` the timeout, and `worth` the priority weight.
//! `parameters` maps each key to the policy parameter that it sets. The keys `aim_stretch`, `share` and `least_stage` set none; they
//! are only validated.

use std::collections::BTreeSet;

use serde::Deserialize;

use crate::error::SettingsError;

#[derive(Deserialize)]
pub(crate) struct Settings {
    pub(crate) az: Option<String>,
    #[serde(default)]
    pub(crate) azs: Vec<String>,
    #[serde(default)]
    pub(crate) models: Vec<String>,
    pub(crate) balancers: usize,
    pub(crate) ordinal: usize,
    pub(crate) classes: Vec<ClassSettings>,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantSettings>,
    #[serde(default)]
    pub(crate) discovery: DiscoverySetting,
    #[serde(default)]
    pub(crate) report: ReportSettings,
    #[serde(default)]
    pub(crate) family_info: RolloutSettings,
    #[serde(default)]
    pub(crate) limits: LimitSettings,
    #[serde(default)]
    pub(crate) safety: SafetySettings,
    #[serde(default)]
    pub(crate) clients: ClientSettings,
    #[serde(default)]
    pub(crate) prices: PriceSettings,
    #[serde(default)]
    pub(crate) tick: i64,
}

#[derive(Deserialize)]
pub(crate) struct ClassSettings {
    pub(crate) name: String,
    pub(crate) aim: i64,
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    pub(crate) give_up: i64,
    pub(crate) idempotency: IdempotencySetting,
    pub(crate) group: Option<ScopeSetting>,
    #[serde(default)]
    pub(crate) memory_span: i64,
    #[serde(default)]
    pub(crate) worth: f64,
    #[serde(default)]
    pub(crate) late_worth: f64,
}

#[derive(Deserialize)]
pub(crate) struct TenantSettings {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) share: f64,
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

#[derive(Deserialize, Default)]
pub(crate) struct ReportSettings {
    #[serde(default)]
    pub(crate) via: ReportVia,
}

#[derive(Deserialize, Default)]
pub(crate) struct ClientSettings {
    #[serde(default)]
    pub(crate) marks_retry: bool,
}

#[derive(Deserialize, Default)]
pub(crate) struct PriceSettings {
    #[serde(default)]
    pub(crate) cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct RolloutSettings {
    pub(crate) decided_by: DecidedBy,
    pub(crate) exposure_caps: Vec<f64>,
    pub(crate) steps: Vec<f64>,
    pub(crate) counts: CountsSetting,
    pub(crate) counted_over: i64,
    pub(crate) spare_tries: f64,
    pub(crate) guarded_stages: usize,
    pub(crate) one_way: bool,
    pub(crate) least_stage: i64,
    pub(crate) vote_life: i64,
    pub(crate) vote_wait: i64,
    pub(crate) api_rate: f64,
    pub(crate) swap: SwapSetting,
    pub(crate) flag_share: f64,
    pub(crate) warm_keys: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct LimitSettings {
    pub(crate) max_attempts: usize,
    pub(crate) cancel: bool,
    pub(crate) may_tell: bool,
    pub(crate) probes: bool,
    pub(crate) retry_after: bool,
    pub(crate) max_retry_after: i64,
    pub(crate) connect_timeout: i64,
    pub(crate) conn_idle: i64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct SafetySettings {
    pub(crate) cold_from: f64,
    pub(crate) ramp_time: i64,
    pub(crate) fall: i64,
    pub(crate) fall_multiple: f64,
    pub(crate) must_ask_in: i64,
    pub(crate) drain_grace: i64,
}

// The allowed values of settings. An unknown value is rejected, because any default could permit more than intended.

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DiscoverySetting {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum IdempotencySetting {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ScopeSetting {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ReportVia {
    #[default]
    None,
    Answers,
    Probe,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum DecidedBy {
    Single,
    #[default]
    Majority,
    Clocked,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CountsSetting {
    #[default]
    All,
    PerLane,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum SwapSetting {
    SideBySide,
    #[default]
    Rolling,
}

fn check_names<'a>(
    list: &'static str,
    names: impl Iterator<Item = &'a str>,
) -> Result<(), SettingsError> {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            return Err(SettingsError::EmptyName { list });
        }
        if !seen.insert(name) {
            return Err(SettingsError::DuplicateName {
                list,
                name: name.into(),
            });
        }
    }
    Ok(())
}

fn check_not_negative(path_prefix: &str, fields: &[(&str, f64)]) -> Result<(), SettingsError> {
    match fields.iter().find(|(_, value)| *value < 0.0) {
        Some((field, value)) => Err(SettingsError::Negative {
            field: format!("{path_prefix}{field}"),
            value: *value,
        }),
        None => Ok(()),
    }
}

fn check_ratios(path_prefix: &str, fields: &[(&str, f64)]) -> Result<(), SettingsError> {
    match fields
        .iter()
        .find(|(_, value)| !(0.0..=1.0).contains(value))
    {
        Some((field, value)) => Err(SettingsError::NotARatio {
            field: format!("{path_prefix}{field}"),
            value: *value,
        }),
        None => Ok(()),
    }
}

impl ClassSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let path_prefix = format!("classes: {}: ", self.name);
        for (field, value) in [("aim", self.aim), ("give_up", self.give_up)] {
            if value <= 0 {
                return Err(SettingsError::NotPositive {
                    field: format!("{path_prefix}{field}"),
                    value,
                });
            }
        }
        let not_negative = [
            ("memory_span", self.memory_span as f64),
            ("aim_stretch", self.aim_stretch),
            ("worth", self.worth),
        ];
        check_not_negative(&path_prefix, &not_negative)?;
        check_ratios(&path_prefix, &[("late_worth", self.late_worth)])?;
        if self.idempotency == IdempotencySetting::Keyed && self.group.is_none() {
            return Err(SettingsError::MissingIdempotencyScope {
                class: self.name.clone(),
            });
        }
        Ok(())
    }
}

impl TenantSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let path_prefix = format!("tenants: {}: ", self.name);
        check_ratios(&path_prefix, &[("share", self.share)])?;
        check_not_negative(&path_prefix, &[("quota_per_s", self.quota_per_s)])
    }
}

impl LimitSettings {
    fn check(&self) -> Result<(), SettingsError> {
        let not_negative = [
            ("max_retry_after", self.max_retry_after as f64),
            ("connect_timeout", self.connect_timeout as f64),
            ("conn_idle", self.conn_idle as f64),
        ];
        check_not_negative("limits.", &not_negative)
    }
}

impl SafetySettings {
    fn check(&self) -> Result<(), SettingsError> {
        let not_negative = [
            ("ramp_time", self.ramp_time as f64),
            ("fall", self.fall as f64),
            ("fall_multiple", self.fall_multiple),
            ("must_ask_in", self.must_ask_in as f64),
            ("drain_grace", self.drain_grace as f64),
        ];
        check_not_negative("safety.", &not_negative)?;
        check_ratios("safety.", &[("cold_from", self.cold_from)])
    }
}

impl RolloutSettings {
    fn check(&self) -> Result<(), SettingsError> {
        const PATH_PREFIX: &str = "family_info.";
        let not_negative = [
            ("counted_over", self.counted_over as f64),
            ("spare_tries", self.spare_tries),
            ("least_stage", self.least_stage as f64),
            ("vote_life", self.vote_life as f64),
            ("vote_wait", self.vote_wait as f64),
            ("api_rate", self.api_rate),
        ];
        check_not_negative(PATH_PREFIX, &not_negative)?;
        check_ratios(PATH_PREFIX, &[("flag_share", self.flag_share)])?;
        for limit in &self.exposure_caps {
            check_ratios(PATH_PREFIX, &[("exposure_caps", *limit)])?;
        }
        for step in &self.steps {
            check_ratios(PATH_PREFIX, &[("steps", *step)])?;
        }
        Ok(())
    }
}

impl Settings {
    /// Rejects values out of range, so that an invalid limit is not treated as no limit.
    pub(crate) fn check(&self) -> Result<(), SettingsError> {
        check_names(
            "classes",
            self.classes.iter().map(|class| class.name.as_str()),
        )?;
        check_names(
            "tenants",
            self.tenants.iter().map(|tenant| tenant.name.as_str()),
        )?;
        self.classes.iter().try_for_each(ClassSettings::check)?;
        self.tenants.iter().try_for_each(TenantSettings::check)?;
        if self.ordinal >= self.balancers.max(1) {
            return Err(SettingsError::OrdinalTooHigh {
                ordinal: self.ordinal,
                gateway_count: self.balancers,
            });
        }
        check_not_negative("", &[("tick", self.tick as f64)])?;
        self.limits.check()?;
        self.safety.check()?;
        self.family_info.check()
    }
}
