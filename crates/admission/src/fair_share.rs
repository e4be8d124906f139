//! Shares: how much of each tenant's requests passes where not all can, and how even shares are.

/// The part that passes of each of these, where `part` of all can: those that want less than their share get
/// what they want, the rest share what is left by their quotas. None told: all alike.
pub fn pass(wants: &[f32], quotas: &[f64], part: f32, out: &mut [f32]) {
    let all: f32 = wants.iter().sum();
    out.fill(part.min(1.0));
    if part >= 1.0 || all <= 0.0 || wants.len() < 2 {
        return;
    }
    let quota = |at: usize| {
        quotas
            .get(at)
            .copied()
            .filter(|q| *q > 0.0 && q.is_finite())
            .unwrap_or(1.0) as f32
    };
    // Each round, whoever wants no more than its share is served whole; the rest share anew. Ends after as
    // many rounds as there are tenants at the most.
    let mut whole = 0_u32;
    for _ in 0..wants.len() {
        let rest = |at: usize| whole >> at & 1 == 0;
        let served: f32 = (0..wants.len())
            .filter(|at| !rest(*at))
            .map(|at| wants[at])
            .sum();
        let quotas: f32 = (0..wants.len()).filter(|at| rest(*at)).map(quota).sum();
        let level = (part * all - served).max(0.0) / quotas.max(f32::EPSILON);
        let mut more = 0;
        for at in (0..wants.len()).filter(|at| rest(*at)) {
            out[at] = (level * quota(at) / wants[at].max(f32::EPSILON)).min(1.0);
            more |= u32::from(out[at] >= 1.0) << at;
        }
        if more == 0 {
            return;
        }
        whole |= more;
    }
}

/// Jain's index of these: 1 if all are equal, one over their number if one has all.
pub fn jain(of: &[f64]) -> f64 {
    let (sum, squares) = of.iter().fold((0.0, 0.0), |(s, q), x| (s + x, q + x * x));
    if squares > 0.0 {
        sum * sum / (of.len() as f64 * squares)
    } else {
        1.0
    }
}
