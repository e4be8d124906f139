//! Reads the settings of a start into the module's told terms. Unknown keys are passed over; keys that are
//! left out get the value that claims least.

use std::collections::BTreeMap;

use harrierdock::interface::*;
use harrierdock::time::Span;
use indexmap::IndexSet;
use serde::Deserialize;

#[derive(Deserialize)]
struct Options {
    az: Option<String>,
    #[serde(default)]
    azs: Vec<String>,
    #[serde(default)]
    models: Vec<String>,
    balancers: usize,
    ordinal: usize,
    classes: Vec<Class>,
    #[serde(default)]
    tenants: Vec<Tenant>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    family_info: Family,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    safety: Safety,
    #[serde(default)]
    clients: Clients,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    tick: i64,
}

#[derive(Deserialize)]
struct Class {
    name: String,
    aim: i64,
    #[serde(default)]
    aim_stretch: f64,
    give_up: i64,
    idempotency: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    memory_span: i64,
    #[serde(default)]
    worth: f64,
    #[serde(default)]
    late_worth: f64,
}

#[derive(Deserialize)]
struct Tenant {
    name: String,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    via: String,
}

#[derive(Deserialize, Default)]
struct Clients {
    #[serde(default)]
    marks_retry: bool,
}

#[derive(Deserialize, Default)]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Family {
    decided_by: String,
    exposure_caps: Vec<f64>,
    steps: Vec<f64>,
    counts: String,
    counted_over: i64,
    spare_tries: f64,
    guarded_stages: usize,
    one_way: bool,
    least_stage: i64,
    vote_life: i64,
    vote_wait: i64,
    api_rate: f64,
    swap: String,
    flag_share: f64,
    warm_keys: bool,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    max_attempts: usize,
    cancel: bool,
    may_tell: bool,
    probes: bool,
    retry_after: bool,
    max_retry_after: i64,
    connect_timeout: i64,
    conn_idle: i64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Safety {
    cold_from: f64,
    ramp_time: i64,
    fall: i64,
    fall_multiple: f64,
    must_ask_in: i64,
}

/// Numbers given to names that come and go. Guards against a name that was forgotten being taken for another by
/// whatever still speaks of it: a number is given once.
#[derive(Default)]
pub struct Ids {
    numbers: BTreeMap<String, usize>,
    names: BTreeMap<usize, String>,
    given: usize,
}

impl Ids {
    /// The name's number, a new one if it has none.
    pub fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.get(name) {
            return number;
        }
        let number = self.given;
        self.given += 1;
        self.numbers.insert(name.into(), number);
        self.names.insert(number, name.into());
        number
    }

    pub fn get(&self, name: &str) -> Option<usize> {
        self.numbers.get(name).copied()
    }

    pub fn name(&self, number: usize) -> Option<&str> {
        self.names.get(&number).map(String::as_str)
    }

    pub fn numbers(&self) -> impl ExactSizeIterator<Item = usize> + '_ {
        self.names.keys().copied()
    }

    /// Forgets the names of all other numbers.
    pub fn retain(&mut self, keep: impl Fn(usize) -> bool) {
        self.names.retain(|number, _| keep(*number));
        self.numbers.retain(|_, number| keep(*number));
    }
}

/// The names an instance was told, each by its small index.
#[derive(Default)]
pub struct Names {
    pub products: IndexSet<String>,
    pub tenants: IndexSet<String>,
    pub zones: IndexSet<String>,
    pub models: IndexSet<String>,
    pub servers: Ids,
}

/// FNV-1a of a text.
pub fn hash(text: &str) -> u64 {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0000_0100_0000_01b3);
    text.bytes().fold(0xcbf2_9ce4_8422_2325, step)
}

/// A server's mark: FNV-1a of its id, folded to 16 bits. All gateways of a tier must fold alike.
pub fn mark(id: &str) -> u16 {
    let hash = id.bytes().fold(0x811c_9dc5_u32, |h, b| (h ^ u32::from(b)).wrapping_mul(0x0100_0193));
    (hash ^ (hash >> 16)) as u16
}

fn repeat(class: &Class) -> Result<Repeat, String> {
    let group = match class.group.as_str() {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    match class.idempotency.as_str() {
        "safe" => Ok(Repeat::InquiryLike),
        "keyed" => Ok(Repeat::Referenced { group, memory: Span(class.memory_span) }),
        "unsafe" => Ok(Repeat::OnceOnly),
        odd => Err(format!("classes: {}: unknown idempotency '{odd}'", class.name)),
    }
}

pub fn read(options: &serde_json::Value) -> Result<(Terms, Names), String> {
    let o: Options = serde_path_to_error::deserialize(options).map_err(|e| e.to_string())?;
    let mut names = Names {
        products: o.classes.iter().map(|c| c.name.clone()).collect(),
        tenants: o.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: o.azs.iter().cloned().collect(),
        models: o.models.iter().cloned().collect(),
        servers: Ids::default(),
    };
    let mut products = Vec::new();
    for class in &o.classes {
        products.push(ProductTerms {
            repeat: repeat(class)?,
            sla: Span(class.aim),
            sla_stretch: class.aim_stretch,
            expiry: Span(class.give_up),
            revenue: class.worth,
            late_worth: class.late_worth,
        });
    }
    let (f, l, s) = (o.family_info, o.limits, o.safety);
    let terms = Terms {
        zone: names.zones.insert_full(o.az.unwrap_or_default()).0,
        balancers: o.balancers.max(1),
        ordinal: o.ordinal,
        tick: Span(o.tick),
        discovery: if o.discovery == "on_request" { Discovery::OnRequest } else { Discovery::Pushed },
        reports: match o.report.via.as_str() {
            "answers" => Reports::WithAnswers,
            "probe" => Reports::WhenProbed,
            _ => Reports::None,
        },
        products,
        tenant_quotas: o.tenants.iter().map(|t| t.quota_per_s).collect(),
        release: ReleaseTerms {
            control: if f.decided_by == "clocked" { Control::Clock } else { Control::Votes },
            caps: f.exposure_caps,
            steps: f.steps,
            counting: if f.counts == "per_lane" { Counting::ByProduct } else { Counting::Together },
            window: Span(f.counted_over),
            free: f.spare_tries,
            guarded_stages: f.guarded_stages,
            one_way: f.one_way,
            least_stage: Span(f.least_stage),
            vote_life: Span(f.vote_life),
            vote_wait: Span(f.vote_wait),
            votes_a_second: f.api_rate,
            beside: f.swap == "side_by_side",
            complaint_share: f.flag_share,
        },
        rules: RuleTerms {
            cold_from: s.cold_from,
            ramp: Span(s.ramp_time),
            fall: Span(s.fall),
            fall_multiple: s.fall_multiple,
            ask_within: Span(s.must_ask_in),
        },
        limits: LimitTerms {
            attempts: l.max_attempts.max(1),
            recall: l.cancel,
            tell: l.may_tell,
            probe: l.probes,
            retry_after: (l.retry_after).then_some(Span(l.max_retry_after)),
            connect: Span(l.connect_timeout),
            idle: Span(l.conn_idle),
        },
        cross_zone_price: o.prices.cross_zone,
        warm_keys: f.warm_keys,
        marks_repeats: o.clients.marks_retry,
    };
    Ok((terms, names))
}

#[cfg(test)]
mod tests {
    use super::Ids;

    #[test]
    fn a_number_is_given_once_however_names_come_and_go() {
        let mut ids = Ids::default();
        let first = ["a", "b", "a"].map(|name| ids.number(name));
        ids.retain(|number| number != 0);
        let then = ["a", "b", "c"].map(|name| ids.number(name));
        assert_eq!((first, then, ids.name(0), ids.get("a")), ([0, 1, 0], [2, 1, 3], None, Some(2)));
    }
}
