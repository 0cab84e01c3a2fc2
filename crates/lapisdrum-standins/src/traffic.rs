//! What calls take on the wire: start line, headers and body, without TCP's and IP's own heads.

use lapisdrum::util::http::{HttpRequest, HttpResponse};

/// Bytes around a header: the colon, the space and the line's end.
const HEADER_EXTRA: usize = 4;
/// Bytes of a start line besides its path: method, version, spaces, line's end.
const START_LINE: usize = 17;
/// Bytes that the server's library adds to each answer: length, date and the blank line.
const ANSWER_EXTRA: usize = 60;

/// Bytes of a request.
pub fn request_bytes(req: &HttpRequest) -> u64 {
    let headers = req
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let headers: usize = headers.map(|bytes| bytes + HEADER_EXTRA).sum();
    (START_LINE + req.path.len() + req.query.len() + headers + req.body.len()) as u64
}

/// Bytes of an answer.
pub fn response_bytes(res: &HttpResponse) -> u64 {
    let headers = res
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + HEADER_EXTRA);
    (START_LINE + ANSWER_EXTRA + headers.sum::<usize>() + res.body.len()) as u64
}
