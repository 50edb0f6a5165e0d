//! The headers `Range` and `If-Range` of a request.

/// Half-open range of bytes, `start..end`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ByteRange {
    /// Offset of the first byte.
    pub start: u64,
    /// Offset after the last byte.
    pub end: u64,
}

/// The part of a resource that a request selects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RangeOutcome {
    /// The whole resource.
    Whole,
    /// One range of the resource.
    Part(ByteRange),
    /// A range outside the resource.
    Unsatisfiable,
}

/// Returns the part of a resource of `length` bytes that the headers select.
///
/// Multiple ranges, invalid ranges and an `If-Range` that differs from `etag` select the whole
/// resource.
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
        return suffix_range(last, length);
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

/// Returns the range of the last `count` bytes.
fn suffix_range(count: &str, length: u64) -> RangeOutcome {
    let Ok(count) = count.parse::<u64>() else {
        return RangeOutcome::Whole;
    };
    if count == 0 || length == 0 {
        return RangeOutcome::Unsatisfiable;
    }
    RangeOutcome::Part(ByteRange { start: length.saturating_sub(count), end: length })
}
