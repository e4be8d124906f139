//! The settings as they are written, and what is refused in them.

use std::collections::BTreeSet;

use serde::Deserialize;

#[derive(Deserialize)]
pub struct Options {
    pub az: Option<String>,
    #[serde(default)]
    pub azs: Vec<String>,
    #[serde(default)]
    pub models: Vec<String>,
    pub balancers: usize,
    pub ordinal: usize,
    pub classes: Vec<Class>,
    #[serde(default)]
    pub tenants: Vec<Tenant>,
    #[serde(default)]
    pub discovery: DiscoveryTold,
    #[serde(default)]
    pub report: Report,
    #[serde(default)]
    pub family_info: Family,
    #[serde(default)]
    pub limits: Limits,
    #[serde(default)]
    pub safety: Safety,
    #[serde(default)]
    pub clients: Clients,
    #[serde(default)]
    pub prices: Prices,
    #[serde(default)]
    pub tick: i64,
}

#[derive(Deserialize)]
pub struct Class {
    pub name: String,
    pub aim: i64,
    #[serde(default)]
    pub aim_stretch: f64,
    pub give_up: i64,
    pub idempotency: IdempotencyTold,
    pub group: Option<GroupTold>,
    #[serde(default)]
    pub memory_span: i64,
    #[serde(default)]
    pub worth: f64,
    #[serde(default)]
    pub late_worth: f64,
}

#[derive(Deserialize)]
pub struct Tenant {
    pub name: String,
    #[serde(default)]
    pub share: f64,
    #[serde(default)]
    pub quota_per_s: f64,
}

#[derive(Deserialize, Default)]
pub struct Report {
    #[serde(default)]
    pub via: ReportTold,
}

#[derive(Deserialize, Default)]
pub struct Clients {
    #[serde(default)]
    pub marks_retry: bool,
}

#[derive(Deserialize, Default)]
pub struct Prices {
    #[serde(default)]
    pub cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Family {
    pub decided_by: DecidedTold,
    pub exposure_caps: Vec<f64>,
    pub steps: Vec<f64>,
    pub counts: CountsTold,
    pub counted_over: i64,
    pub spare_tries: f64,
    pub guarded_stages: usize,
    pub one_way: bool,
    pub least_stage: i64,
    pub vote_life: i64,
    pub vote_wait: i64,
    pub api_rate: f64,
    pub swap: SwapTold,
    pub flag_share: f64,
    pub warm_keys: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Limits {
    pub max_attempts: usize,
    pub cancel: bool,
    pub may_tell: bool,
    pub probes: bool,
    pub retry_after: bool,
    pub max_retry_after: i64,
    pub connect_timeout: i64,
    pub conn_idle: i64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
pub struct Safety {
    pub cold_from: f64,
    pub ramp_time: i64,
    pub fall: i64,
    pub fall_multiple: f64,
    pub must_ask_in: i64,
    pub drain_grace: i64,
}

// The words that a setting may hold. One that is not among them is refused: taken for another it could claim more
// than was granted.

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DiscoveryTold {
    #[default]
    Pushed,
    OnRequest,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IdempotencyTold {
    Safe,
    Keyed,
    Unsafe,
}

#[derive(Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupTold {
    All,
    Zone,
    Cell,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportTold {
    #[default]
    None,
    Answers,
    Probe,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecidedTold {
    Single,
    #[default]
    Majority,
    Clocked,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CountsTold {
    #[default]
    All,
    PerLane,
}

#[derive(Clone, Copy, Default, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SwapTold {
    SideBySide,
    #[default]
    Rolling,
}

/// A field and what is wrong with it.
type Fault = String;

fn named<'a>(list: &str, names: impl Iterator<Item = &'a str>) -> Result<(), Fault> {
    let mut seen = BTreeSet::new();
    for name in names {
        if name.is_empty() {
            return Err(format!("{list}: a name is empty"));
        }
        if !seen.insert(name) {
            return Err(format!("{list}: {name}: there are two of this name"));
        }
    }
    Ok(())
}

fn not_negative(of: &str, fields: &[(&str, f64)]) -> Result<(), Fault> {
    let wrong = fields.iter().find(|f| f.1 < 0.0);
    wrong.map_or(Ok(()), |(field, value)| Err(format!("{of}{field}: {value} is negative")))
}

fn part(of: &str, fields: &[(&str, f64)]) -> Result<(), Fault> {
    let wrong = fields.iter().find(|f| !(0.0..=1.0).contains(&f.1));
    wrong.map_or(Ok(()), |(field, value)| Err(format!("{of}{field}: {value} is not between 0 and 1")))
}

impl Class {
    fn check(&self) -> Result<(), Fault> {
        let of = format!("classes: {}: ", self.name);
        for (field, limit) in [("aim", self.aim), ("give_up", self.give_up)] {
            if limit <= 0 {
                return Err(format!("{of}{field}: {limit} is no time to answer in"));
            }
        }
        let times = [("memory_span", self.memory_span as f64), ("aim_stretch", self.aim_stretch)];
        not_negative(&of, &times)?;
        not_negative(&of, &[("worth", self.worth)])?;
        part(&of, &[("late_worth", self.late_worth)])?;
        if self.idempotency == IdempotencyTold::Keyed && self.group.is_none() {
            return Err(format!("{of}group: missing, so nobody knows which servers drop a repeat"));
        }
        Ok(())
    }
}

impl Options {
    /// Refuses what no gateway could keep to. Guards against a limit that is wrong being taken for none.
    pub fn check(&self) -> Result<(), Fault> {
        named("classes", self.classes.iter().map(|c| c.name.as_str()))?;
        named("tenants", self.tenants.iter().map(|t| t.name.as_str()))?;
        self.classes.iter().try_for_each(Class::check)?;
        for tenant in &self.tenants {
            let of = format!("tenants: {}: ", tenant.name);
            part(&of, &[("share", tenant.share)])?;
            not_negative(&of, &[("quota_per_s", tenant.quota_per_s)])?;
        }
        if self.ordinal >= self.balancers.max(1) {
            return Err(format!("ordinal: {} is not below balancers, {}", self.ordinal, self.balancers));
        }
        not_negative("", &[("tick", self.tick as f64)])?;
        let (l, s, f) = (&self.limits, &self.safety, &self.family_info);
        let times = [
            ("max_retry_after", l.max_retry_after as f64),
            ("connect_timeout", l.connect_timeout as f64),
            ("conn_idle", l.conn_idle as f64),
        ];
        not_negative("limits.", &times)?;
        let times = [
            ("ramp_time", s.ramp_time as f64),
            ("fall", s.fall as f64),
            ("fall_multiple", s.fall_multiple),
            ("must_ask_in", s.must_ask_in as f64),
            ("drain_grace", s.drain_grace as f64),
        ];
        not_negative("safety.", &times)?;
        part("safety.", &[("cold_from", s.cold_from)])?;
        let times = [
            ("counted_over", f.counted_over as f64),
            ("spare_tries", f.spare_tries),
            ("least_stage", f.least_stage as f64),
            ("vote_life", f.vote_life as f64),
            ("vote_wait", f.vote_wait as f64),
            ("api_rate", f.api_rate),
        ];
        not_negative("family_info.", &times)?;
        part("family_info.", &[("flag_share", f.flag_share)])?;
        f.exposure_caps.iter().try_for_each(|cap| part("family_info.", &[("exposure_caps", *cap)]))?;
        f.steps.iter().try_for_each(|step| part("family_info.", &[("steps", *step)]))
    }
}
