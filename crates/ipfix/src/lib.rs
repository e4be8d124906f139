//! IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages: templates, options templates and data records onto bytes
//! and back. Files of IPFIX messages (RFC 5655) are such messages one after another. Nothing here opens anything
//! or decides what is exported.

mod element;
mod read;
mod write;

pub use element::{Element, Kind, Semantics, Template, Value, ENTERPRISE, VARIABLE};
pub use read::{split_file, Fault, Message, Reader, Record, Split, Torn, V9_SCOPE};
pub use write::{Form, Full, Writer, V9_TEXT};
