//! IPFIX (RFC 7011) and NetFlow v9 (RFC 3954) messages: templates, options templates and data records onto bytes
//! and back. Files of IPFIX messages (RFC 5655) are such messages one after another. Nothing here opens anything
//! or decides what is exported.

mod information_element;
mod reader;
mod writer;

pub use information_element::{Element, Kind, Semantics, Template, Value, ENTERPRISE, VARIABLE};
pub use reader::{split_file, Fault, Message, Reader, Record, Split, Torn, V9_SCOPE};
pub use writer::{Form, Full, Writer, V9_TEXT};
