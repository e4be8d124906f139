//! Admission in simulated time: the same days, drawn by seeds, played in four ways. Nothing here is a socket.

mod day;
mod txns;
mod ways;
mod world;

use serde::Serialize;

pub use day::Fault;
use day::{Day, TENANTS};
use harrierdock_admission::fair_share::{admitted_ratios, jain_index};
use ways::Way;
use world::{Sums, World};

/// As many as one gateway keeps of members.
pub const MOST_GATEWAYS: usize = 1000;
/// The part of the bound's priority weight that shared slack is to settle.
const WANTED: f64 = 0.9;
/// What the one dispatcher's two thresholds are tried at; the best in hindsight is each day's bound.
const CHEAP: [f64; 4] = [-0.2, 0.0, 0.5, 2.0];
const DEAR: [f64; 3] = [2.5, 3.5, 4.5];

#[derive(Debug, Default, Serialize)]
pub struct Spread {
    pub mean: f64,
    pub least: f64,
    pub most: f64,
    /// The standard error of the mean.
    pub error: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Played {
    pub way: &'static str,
    /// Revenue over that of the dispatcher that sees all queues: the whole day, and requests of the trouble
    /// alone.
    pub share: Spread,
    pub share_in_trouble: Spread,
    pub late_share: f64,
    pub declined_share: f64,
    pub waited: f64,
    pub waited_in_time: f64,
    /// Of what was sent in each tenth of a second in the trouble: the standard deviation over the mean.
    pub swing: f64,
    /// What it would be by chance alone, if each was sent for itself.
    pub swing_by_chance: f64,
    pub jain_tenants: f64,
    pub jain_gateways: f64,
    pub bytes_a_gateway_s: f64,
}

#[derive(Debug, Default, Serialize)]
pub struct Found {
    pub ok: bool,
    pub seed: u64,
    pub seeds: u64,
    pub gateways: usize,
    pub fault: String,
    /// The bound's priority weight over that of an endless capacity.
    pub bound_of_offered: f64,
    pub ways: Vec<Played>,
    /// Shared slack less the better of the other two, in the whole day's shares, day by day.
    pub ahead: Spread,
    pub days_ahead: usize,
}

fn spread(of: &[f64]) -> Spread {
    let n = of.len().max(1) as f64;
    let mean = of.iter().sum::<f64>() / n;
    let squares: f64 = of.iter().map(|x| (x - mean) * (x - mean)).sum();
    Spread {
        mean,
        least: of.iter().copied().fold(f64::INFINITY, f64::min),
        most: of.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        error: (squares / (n - 1.0).max(1.0) / n).sqrt(),
    }
}

fn swing(sums: &Sums) -> (f64, f64) {
    let part = &sums.tenths[45..75];
    let mean = part.iter().sum::<f64>() / part.len() as f64;
    let squares: f64 = part.iter().map(|x| (x - mean) * (x - mean)).sum();
    (
        (squares / part.len() as f64).sqrt() / mean.max(1.0),
        1.0 / mean.max(1.0).sqrt(),
    )
}

/// What tenants were served against what their quotas give them of all that was served at each priority weight.
fn tenants(sums: &Sums) -> f64 {
    let mut parts = vec![(0.0, 0.0); TENANTS.len()];
    for level in &sums.tenants {
        let wants: Vec<f32> = level.iter().map(|t| t.0 as f32).collect();
        let (all, served) = level
            .iter()
            .fold((0.0, 0.0), |(a, s), t| (a + t.0, s + t.1));
        let mut fair = vec![1.0; wants.len()];
        admitted_ratios(
            &wants,
            &TENANTS,
            (served / f64::max(all, 1.0)) as f32,
            &mut fair,
        );
        for (part, (tenant, fair)) in parts.iter_mut().zip(level.iter().zip(&fair)) {
            *part = (part.0 + tenant.1, part.1 + tenant.0 * f64::from(*fair));
        }
    }
    jain_index(
        &parts
            .iter()
            .map(|p| p.0 / f64::max(p.1, 1.0))
            .collect::<Vec<f64>>(),
    )
}

fn gateways(sums: &Sums) -> f64 {
    jain_index(
        &sums
            .gateways
            .iter()
            .filter(|g| g.0 >= 20.0)
            .map(|g| g.1 / g.0)
            .collect::<Vec<f64>>(),
    )
}

fn mean(of: impl Iterator<Item = f64>, count: usize) -> f64 {
    of.sum::<f64>() / count.max(1) as f64
}

pub fn play(
    seed: u64,
    seeds: u64,
    of: usize,
    fault: Fault,
    mut progress: impl FnMut(u64),
) -> Found {
    let named = [
        ("alone", Way::Alone),
        ("part-to-shed", Way::Shed),
        ("shared-slack", Way::Shared),
    ];
    let (mut runs, mut bounds, mut offered) =
        ([Vec::new(), Vec::new(), Vec::new()], Vec::new(), Vec::new());
    for n in 0..seeds {
        let day = Day::draw(seed + n, of, fault);
        let bound = CHEAP.iter().flat_map(|cheap| {
            DEAR.map(|dear| Way::Bound {
                cheap: *cheap,
                dear,
            })
        });
        let bound = bound.map(|way| World::new(&day, way).play());
        let Some(bound) = bound.max_by(|a, b| a.priority_weight.total_cmp(&b.priority_weight))
        else {
            break;
        };
        for (runs, (_, way)) in runs.iter_mut().zip(&named) {
            runs.push(World::new(&day, *way).play());
        }
        let counted = day
            .comes
            .iter()
            .filter(|c| (day::COUNTED.0..day::COUNTED.1).contains(&c.at));
        offered.push(
            bound.priority_weight
                / counted
                    .map(|c| day.classes[c.class].priority_weight)
                    .sum::<f64>(),
        );
        bounds.push(bound);
        progress(n + 1);
    }
    let shares = |runs: &[Sums]| -> Vec<f64> {
        runs.iter()
            .zip(&bounds)
            .map(|(r, b)| r.priority_weight / b.priority_weight)
            .collect()
    };
    let count = bounds.len();
    let ways = named.iter().zip(&runs).map(|((way, _), runs)| Played {
        way,
        share: spread(&shares(runs)),
        share_in_trouble: spread(
            &runs
                .iter()
                .zip(&bounds)
                .map(|(r, b)| r.revenue_in_trouble / b.revenue_in_trouble)
                .collect::<Vec<f64>>(),
        ),
        late_share: mean(
            runs.iter().map(|r| r.late as f64 / r.sent.max(1) as f64),
            count,
        ),
        declined_share: mean(
            runs.iter()
                .map(|r| r.declined as f64 / (r.sent + r.declined).max(1) as f64),
            count,
        ),
        waited: mean(runs.iter().map(|r| r.waited as f64), count),
        waited_in_time: mean(runs.iter().map(|r| r.waited_in_time as f64), count),
        swing: mean(runs.iter().map(|r| swing(r).0), count),
        swing_by_chance: mean(runs.iter().map(|r| swing(r).1), count),
        jain_tenants: mean(runs.iter().map(tenants), count),
        jain_gateways: mean(runs.iter().map(gateways), count),
        bytes_a_gateway_s: mean(
            runs.iter().map(|r| r.bytes as f64 / of as f64 / 12.0),
            count,
        ),
    });
    let ways: Vec<Played> = ways.collect();
    let [alone, shed, shared] = [0, 1, 2].map(|n: usize| shares(&runs[n]));
    let ahead: Vec<f64> = (0..count)
        .map(|n| shared[n] - alone[n].max(shed[n]))
        .collect();
    Found {
        ok: spread(&shared).mean >= WANTED,
        seed,
        seeds,
        gateways: of,
        fault: fault.to_string(),
        bound_of_offered: mean(offered.iter().copied(), count),
        days_ahead: ahead.iter().filter(|a| **a > 0.0).count(),
        ahead: spread(&ahead),
        ways,
    }
}
