//! Fair shares: the admitted ratio of each tenant under overload, and an index of fairness.

/// Computes the admitted ratio of each tenant's `demand` if `ratio` of the total demand can be admitted. Tenants with less demand than
/// their share are admitted in full; the others share the remaining capacity by `quotas`. A missing or invalid quota counts as 1.
pub fn admitted_ratios(demand: &[f32], quotas: &[f64], ratio: f32, admitted: &mut [f32]) {
    let total: f32 = demand.iter().sum();
    admitted.fill(ratio.min(1.0));
    if ratio >= 1.0 || total <= 0.0 || demand.len() < 2 {
        return;
    }
    let quota = |tenant: usize| {
        quotas
            .get(tenant)
            .copied()
            .filter(|quota| *quota > 0.0 && quota.is_finite())
            .unwrap_or(1.0) as f32
    };
    // Each round admits in full the tenants whose demand is within their share, and divides the remaining capacity among the others again.
    // Each round but the last satisfies a tenant, so there are at most as many rounds as tenants.
    let mut satisfied = 0_u32;
    for _ in 0..demand.len() {
        let is_open = |tenant: usize| satisfied >> tenant & 1 == 0;
        let tenants = 0..demand.len();
        let used: f32 = tenants
            .clone()
            .filter(|tenant| !is_open(*tenant))
            .map(|tenant| demand[tenant])
            .sum();
        let open_quotas: f32 = tenants
            .clone()
            .filter(|tenant| is_open(*tenant))
            .map(quota)
            .sum();
        let capacity_per_quota = (ratio * total - used).max(0.0) / open_quotas.max(f32::EPSILON);
        let mut newly_satisfied = 0;
        for tenant in tenants.filter(|tenant| is_open(*tenant)) {
            admitted[tenant] =
                (capacity_per_quota * quota(tenant) / demand[tenant].max(f32::EPSILON)).min(1.0);
            newly_satisfied |= u32::from(admitted[tenant] >= 1.0) << tenant;
        }
        if newly_satisfied == 0 {
            return;
        }
        satisfied |= newly_satisfied;
    }
}

/// Jain's fairness index: 1 if all values are equal, and 1/n if one of n values is the only non-zero one.
pub fn jain_index(values: &[f64]) -> f64 {
    let sum = values.iter().fold(0.0, |sum, value| sum + value);
    let squares = values.iter().fold(0.0, |sum, value| sum + value * value);
    if squares > 0.0 {
        sum * sum / (values.len() as f64 * squares)
    } else {
        1.0
    }
}
