//! Size of calls on the wire: start line, headers and body, without TCP and IP headers.

use lapisdrum::util::http::{HttpRequest, HttpResponse};

/// Per header: colon, space and line end.
const HEADER_OVERHEAD_BYTES: usize = 4;
/// Of a start line, without its path: method, version, spaces and line end.
const START_LINE_BYTES: usize = 17;
/// Added to each response by the HTTP library: length, date and blank line.
const RESPONSE_OVERHEAD_BYTES: usize = 60;

/// Size of a request in bytes.
pub fn request_bytes(req: &HttpRequest) -> u64 {
    let headers = req
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let headers: usize = headers.map(|bytes| bytes + HEADER_OVERHEAD_BYTES).sum();
    (START_LINE_BYTES + req.path.len() + req.query.len() + headers + req.body.len()) as u64
}

/// Size of a response in bytes.
pub fn response_bytes(res: &HttpResponse) -> u64 {
    let headers = res
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    (START_LINE_BYTES + RESPONSE_OVERHEAD_BYTES + headers.sum::<usize>() + res.body.len()) as u64
}
