//! Identifiers. The edges (configuration, discovery, downstream) hand out small numbers for names; everything behind them
//! uses only the numbers.

use std::fmt;

macro_rules! id {
    ($(#[$doc:meta])* $name:ident($number:ty)) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $number);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl From<$number> for $name {
            fn from(number: $number) -> $name {
                $name(number)
            }
        }
    };
}

id! {
    /// A client's request, from its receipt to its answer. Never used twice by one gateway.
    RequestId(u64)
}
id! {
    /// What ties several requests together: after a newer build has answered one of them, no older build may answer another.
    AffinityKey(u64)
}
id! {
    /// A build of the endpoints' software. Newer builds have higher numbers.
    BuildId(u32)
}
id! {
    /// An endpoint, as this gateway numbers it.
    EndpointId(usize)
}
id! {
    /// An endpoint, as all gateways of a fleet number it alike: a hash of its name.
    GossipId(u16)
}
id! {
    /// A request class, by its place in the configuration.
    ClassId(usize)
}
id! {
    /// A tenant, by its place in the configuration.
    TenantId(usize)
}
id! {
    /// A zone, as this gateway numbers it.
    ZoneId(usize)
}
id! {
    /// A gateway of the same fleet, by its place in the fleet.
    PeerId(usize)
}
