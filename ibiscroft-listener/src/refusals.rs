//! Responses that the listener sends in place of the HTTP server.

/// Response to a request head that is too long.
pub(crate) const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Response to a request head that is too long by a limit that may have been raised.
pub(crate) const HEAD_TOO_LONG_AT_PRESENT: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Retry-After: 0.2\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Response to a request head that is late.
pub(crate) const HEAD_LATE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Response to HTTP/2, which is not accepted.
pub(crate) const HTTP2_REFUSED: &[u8] = b"HTTP/1.1 505 HTTP Version Not Supported\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
