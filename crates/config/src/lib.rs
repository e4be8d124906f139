//! Reads the settings of a start into the module's told terms. Unknown keys are passed over; keys that are
//! left out get the value that claims least; a value that cannot be kept to is refused with its field.

mod ids;
mod told;

use harrierdock_types::interface::*;
use harrierdock_types::time::Span;
use indexmap::IndexSet;

pub use ids::Ids;
use told::{
    CountsTold, DecidedTold, DiscoveryTold, GroupTold, IdempotencyTold, Options, ReportTold, SwapTold,
};

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

fn repeat(class: &told::Class) -> Repeat {
    let group = match class.group {
        Some(GroupTold::All) => Group::All,
        Some(GroupTold::Zone) => Group::Zone,
        Some(GroupTold::Cell) | None => Group::Cell,
    };
    match class.idempotency {
        IdempotencyTold::Safe => Repeat::InquiryLike,
        IdempotencyTold::Keyed => Repeat::Referenced { group, memory: Span(class.memory_span) },
        IdempotencyTold::Unsafe => Repeat::OnceOnly,
    }
}

pub fn read(options: &serde_json::Value) -> Result<(Terms, Names), String> {
    let o: Options = serde_path_to_error::deserialize(options).map_err(|e| e.to_string())?;
    o.check()?;
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
            repeat: repeat(class),
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
        discovery: match o.discovery {
            DiscoveryTold::OnRequest => Discovery::OnRequest,
            DiscoveryTold::Pushed => Discovery::Pushed,
        },
        reports: match o.report.via {
            ReportTold::Answers => Reports::WithAnswers,
            ReportTold::Probe => Reports::WhenProbed,
            ReportTold::None => Reports::None,
        },
        products,
        tenant_quotas: o.tenants.iter().map(|t| t.quota_per_s).collect(),
        release: ReleaseTerms {
            control: match f.decided_by {
                DecidedTold::Clocked => Control::Clock,
                DecidedTold::Single | DecidedTold::Majority => Control::Votes,
            },
            caps: f.exposure_caps,
            steps: f.steps,
            counting: match f.counts {
                CountsTold::PerLane => Counting::ByProduct,
                CountsTold::All => Counting::Together,
            },
            window: Span(f.counted_over),
            free: f.spare_tries,
            guarded_stages: f.guarded_stages,
            one_way: f.one_way,
            least_stage: Span(f.least_stage),
            vote_life: Span(f.vote_life),
            vote_wait: Span(f.vote_wait),
            votes_a_second: f.api_rate,
            beside: f.swap == SwapTold::SideBySide,
            complaint_share: f.flag_share,
        },
        rules: RuleTerms {
            cold_from: s.cold_from,
            ramp: Span(s.ramp_time),
            fall: Span(s.fall),
            fall_multiple: s.fall_multiple,
            ask_within: Span(s.must_ask_in),
            drain_grace: Span(s.drain_grace),
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
