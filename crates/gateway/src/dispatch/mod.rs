//! From received requests to the policy and from its actions to the parts that carry them out.

pub mod attempts;
pub mod dispatcher;
pub mod request_table;
