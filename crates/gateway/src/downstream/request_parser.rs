//! What a client's request is: a request, a look at whether the gateway is ready, or neither.

use harrierdock_config::ClassNames;
use harrierdock_http::RequestHead;
use harrierdock_types::TimeDelta;
use harrierdock_types::{AffinityKey, ClassId};

use crate::runtime::context::Asked;

/// The longest id that is passed on.
const ID_MOST: usize = 64;

// The page's names end here.
const PATH_READY: &str = "/ready";
const PATH_TXN: &str = "/api";
const METHODS: [&str; 2] = ["GET", "POST"];
const PARAMETER_KEY: &str = "obj";
const FIELD_TXN: &str = "X-Txn";
const FIELD_PRODUCT: &str = "X-Lane";
const FIELD_LEFT: &str = "X-Remaining-Ms";
const FIELD_AGAIN: &str = "X-Resent";
const FIELD_REFERENCE: &str = "Idempotency-Key";

pub enum Request<'b> {
    Ready,
    Txn {
        name: &'b str,
        class: ClassId,
        key: Option<AffinityKey>,
        again: bool,
        left: TimeDelta,
    },
    NotFound,
    NotAllowed {
        methods: String,
    },
    /// The field that keeps it from being a request.
    Wrong {
        field: &'static str,
    },
}

/// A key is a small number at the door, whatever its text.
fn key(text: &str) -> AffinityKey {
    let number = (text.len() == 16)
        .then(|| u64::from_str_radix(text, 16).ok())
        .flatten();
    AffinityKey(number.unwrap_or_else(|| harrierdock_config::fnv1a(text)))
}

fn good_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= ID_MOST && text.bytes().all(|b| b.is_ascii_graphic())
}

impl<'b> Request<'b> {
    pub fn read(head: &RequestHead<'b>, classes: &ClassNames) -> Request<'b> {
        match head.path() {
            PATH_READY => Request::Ready,
            PATH_TXN if !METHODS.contains(&head.method) => Request::NotAllowed {
                methods: METHODS.join(", "),
            },
            PATH_TXN => request(head, classes).unwrap_or_else(|field| Request::Wrong { field }),
            _ => Request::NotFound,
        }
    }
}

fn request<'b>(head: &RequestHead<'b>, classes: &ClassNames) -> Result<Request<'b>, &'static str> {
    let one = |name| head.fields.single(name).ok().flatten();
    let name = one(FIELD_TXN).filter(|id| good_id(id)).ok_or(FIELD_TXN)?;
    head.fields
        .single(FIELD_REFERENCE)
        .map_err(|_| FIELD_REFERENCE)?;
    let digits = one(FIELD_LEFT).filter(|left| left.bytes().all(|b| b.is_ascii_digit()));
    let left: u32 = digits
        .and_then(|left| left.parse().ok())
        .ok_or(FIELD_LEFT)?;
    let class = one(FIELD_PRODUCT).and_then(|name| classes.id(name));
    Ok(Request::Txn {
        name,
        class: class.ok_or(FIELD_PRODUCT)?,
        key: head.query_parameter(PARAMETER_KEY).map(key),
        again: one(FIELD_AGAIN) == Some("1"),
        left: TimeDelta(i64::from(left) * 1000),
    })
}

/// What of a request's request goes on to a endpoint.
pub fn asked<'a>(head: &RequestHead<'a>, body: &'a [u8]) -> Option<Asked<'a>> {
    Some(Asked {
        method: head.method,
        target: head.target,
        request: head.fields.single(FIELD_TXN).ok().flatten()?,
        reference: head.fields.single(FIELD_REFERENCE).ok().flatten(),
        body,
    })
}
