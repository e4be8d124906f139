//! What a client's request is: a txn, a look at whether the gateway is ready, or neither.

use harrierdock_http::RequestHead;
use harrierdock_types::interface::{Key, ProductIx};
use harrierdock_types::time::Span;
use indexmap::IndexSet;

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
        product: ProductIx,
        key: Option<Key>,
        again: bool,
        left: Span,
    },
    NotFound,
    NotAllowed {
        methods: String,
    },
    /// The field that keeps it from being a txn.
    Wrong {
        field: &'static str,
    },
}

/// A key is a small number at the door, whatever its text.
fn key(text: &str) -> Key {
    let number = (text.len() == 16).then(|| u64::from_str_radix(text, 16).ok()).flatten();
    Key(number.unwrap_or_else(|| harrierdock_config::hash(text)))
}

fn good_id(text: &str) -> bool {
    !text.is_empty() && text.len() <= ID_MOST && text.bytes().all(|b| b.is_ascii_graphic())
}

impl<'b> Request<'b> {
    pub fn read(head: &RequestHead<'b>, products: &IndexSet<String>) -> Request<'b> {
        match head.path() {
            PATH_READY => Request::Ready,
            PATH_TXN if !METHODS.contains(&head.method) => {
                Request::NotAllowed { methods: METHODS.join(", ") }
            }
            PATH_TXN => txn(head, products).unwrap_or_else(|field| Request::Wrong { field }),
            _ => Request::NotFound,
        }
    }
}

fn txn<'b>(head: &RequestHead<'b>, products: &IndexSet<String>) -> Result<Request<'b>, &'static str> {
    let one = |name| head.fields.one(name).ok().flatten();
    let name = one(FIELD_TXN).filter(|id| good_id(id)).ok_or(FIELD_TXN)?;
    head.fields.one(FIELD_REFERENCE).map_err(|_| FIELD_REFERENCE)?;
    let digits = one(FIELD_LEFT).filter(|left| left.bytes().all(|b| b.is_ascii_digit()));
    let left: u32 = digits.and_then(|left| left.parse().ok()).ok_or(FIELD_LEFT)?;
    let product = one(FIELD_PRODUCT).and_then(|name| products.get_index_of(name));
    Ok(Request::Txn {
        name,
        product: product.ok_or(FIELD_PRODUCT)?,
        key: head.parameter(PARAMETER_KEY).map(key),
        again: one(FIELD_AGAIN) == Some("1"),
        left: Span(i64::from(left) * 1000),
    })
}

/// What of a txn's request goes on to a server.
pub fn asked<'a>(head: &RequestHead<'a>, body: &'a [u8]) -> Option<Asked<'a>> {
    Some(Asked {
        method: head.method,
        target: head.target,
        txn: head.fields.one(FIELD_TXN).ok().flatten()?,
        reference: head.fields.one(FIELD_REFERENCE).ok().flatten(),
        body,
    })
}
