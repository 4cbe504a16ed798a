//! HTTP status codes.

/// Whether a status code can end an exchange.
///
/// That of an interim response can't, nor can 101 if the request asked for no other protocol, and HTTP
/// defines no class of codes from 600 on.
#[must_use]
pub fn is_final(code: u16) -> bool {
    (200..600).contains(&code)
}
