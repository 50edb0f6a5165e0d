//! `Range` and `If-Range` of a request.

/// Bytes from `start` to `end`, `end` excluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteRange {
    /// First byte.
    pub start: u64,
    /// Byte after the last.
    pub end: u64,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeOutcome {
    /// The whole resource.
    Whole,
    /// One part of it.
    Part(ByteRange),
    /// A part outside the resource.
    Unsatisfiable,
}

/// Returns the part that the headers ask for; several ranges and damaged ones mean the whole.
#[must_use]
pub fn requested_range(
    range: Option<&str>,
    if_range: Option<&str>,
    etag: &str,
    length: u64,
) -> RangeOutcome {
    if if_range.is_some_and(|validator| validator != etag) {
        return RangeOutcome::Whole;
    }
    let Some((first, last)) =
        range.and_then(|text| text.strip_prefix("bytes=")).and_then(|spec| spec.split_once('-'))
    else {
        return RangeOutcome::Whole;
    };
    if first.is_empty() {
        return suffix(last, length);
    }
    let Ok(start) = first.parse::<u64>() else {
        return RangeOutcome::Whole;
    };
    let end = match last.parse::<u64>() {
        Ok(last) => last.saturating_add(1).min(length),
        Err(_) if last.is_empty() => length,
        Err(_) => return RangeOutcome::Whole,
    };
    if start >= length || start >= end {
        return RangeOutcome::Unsatisfiable;
    }
    RangeOutcome::Part(ByteRange { start, end })
}

fn suffix(count: &str, length: u64) -> RangeOutcome {
    let Ok(count) = count.parse::<u64>() else {
        return RangeOutcome::Whole;
    };
    if count == 0 || length == 0 {
        return RangeOutcome::Unsatisfiable;
    }
    RangeOutcome::Part(ByteRange { start: length.saturating_sub(count), end: length })
}
