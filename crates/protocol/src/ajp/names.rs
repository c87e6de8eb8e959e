//! The code tables of AJP/1.3: methods, and headers that are sent as a number.

/// The high byte of a header name that is sent as a code.
pub const CODED_HEADER: u16 = 0xA000;

const METHODS: [&str; 27] = [
    "OPTIONS",
    "GET",
    "HEAD",
    "POST",
    "PUT",
    "DELETE",
    "TRACE",
    "PROPFIND",
    "PROPPATCH",
    "MKCOL",
    "COPY",
    "MOVE",
    "LOCK",
    "UNLOCK",
    "ACL",
    "REPORT",
    "VERSION-CONTROL",
    "CHECKIN",
    "CHECKOUT",
    "UNCHECKOUT",
    "SEARCH",
    "MKWORKSPACE",
    "UPDATE",
    "LABEL",
    "MERGE",
    "BASELINE_CONTROL",
    "MKACTIVITY",
];

const REQUEST_HEADERS: [&str; 14] = [
    "accept",
    "accept-charset",
    "accept-encoding",
    "accept-language",
    "authorization",
    "connection",
    "content-type",
    "content-length",
    "cookie",
    "cookie2",
    "host",
    "pragma",
    "referer",
    "user-agent",
];

const RESPONSE_HEADERS: [&str; 11] = [
    "Content-Type",
    "Content-Language",
    "Content-Length",
    "Date",
    "Last-Modified",
    "Location",
    "Set-Cookie",
    "Set-Cookie2",
    "Servlet-Engine",
    "Status",
    "WWW-Authenticate",
];

/// Returns the method with this code.
pub fn method(code: u8) -> Option<&'static [u8]> {
    METHODS
        .get(usize::from(code).checked_sub(1)?)
        .map(|name| name.as_bytes())
}

/// Returns the code of a method; methods are case-sensitive.
pub fn method_code(name: &[u8]) -> Option<u8> {
    METHODS
        .iter()
        .position(|known| known.as_bytes() == name)
        .map(|index| index as u8 + 1)
}

fn name_of_code(table: &[&'static str], code: u16) -> Option<&'static [u8]> {
    table
        .get(usize::from(code & 0xFF).checked_sub(1)?)
        .map(|name| name.as_bytes())
}

fn code_of(table: &[&str], name: &[u8]) -> Option<u16> {
    let index = table
        .iter()
        .position(|known| known.as_bytes().eq_ignore_ascii_case(name))?;
    Some(CODED_HEADER + 1 + index as u16)
}

/// Returns the name of the request header with this code.
pub fn request_header(code: u16) -> Option<&'static [u8]> {
    name_of_code(&REQUEST_HEADERS, code)
}

/// Returns the code of a request header.
pub fn request_header_code(name: &[u8]) -> Option<u16> {
    code_of(&REQUEST_HEADERS, name)
}

/// Returns the name of the response header with this code.
pub fn response_header(code: u16) -> Option<&'static [u8]> {
    name_of_code(&RESPONSE_HEADERS, code)
}

/// Returns the code of a response header.
pub fn response_header_code(name: &[u8]) -> Option<u16> {
    code_of(&RESPONSE_HEADERS, name)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn codes_match_the_published_tables() {
        for (code, name) in [
            (1, "OPTIONS"),
            (2, "GET"),
            (4, "POST"),
            (15, "ACL"),
            (27, "MKACTIVITY"),
        ] {
            assert_eq!(method(code), Some(name.as_bytes()));
            assert_eq!(method_code(name.as_bytes()), Some(code));
        }
        assert_eq!(
            (method(0), method(28), method_code(b"get")),
            (None, None, None)
        );
        assert_eq!(request_header(0xA008), Some(&b"content-length"[..]));
        assert_eq!(request_header_code(b"User-Agent"), Some(0xA00E));
        assert_eq!(
            (request_header(0xA000), request_header(0xA00F)),
            (None, None)
        );
        assert_eq!(response_header(0xA00B), Some(&b"WWW-Authenticate"[..]));
        assert_eq!(response_header_code(b"content-length"), Some(0xA003));
        assert_eq!(response_header(0xA00C), None);
    }
}
