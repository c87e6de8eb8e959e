//! Parses times and shares in nginx's notation.

/// Parses a time in nginx's notation: a number of seconds, or numbers with units, the largest unit
/// first.
pub(super) fn parse_milliseconds(text: &str) -> Option<u64> {
    if let Ok(seconds) = text.parse::<u64>() {
        return seconds.checked_mul(1_000);
    }
    const UNITS: [(&str, u64); 8] = [
        ("y", 31_536_000_000),
        ("M", 2_592_000_000),
        ("w", 604_800_000),
        ("d", 86_400_000),
        ("h", 3_600_000),
        ("m", 60_000),
        ("s", 1_000),
        ("ms", 1),
    ];
    let (mut remaining, mut sum, mut next_unit) = (text, 0_u64, 0);
    while !remaining.is_empty() {
        let digits = remaining.find(|c: char| !c.is_ascii_digit())?;
        let number: u64 = remaining[..digits].parse().ok()?;
        remaining = &remaining[digits..];
        let unit_length = if remaining.starts_with("ms") { 2 } else { 1 };
        let unit = remaining.get(..unit_length)?;
        let index = UNITS.iter().position(|(name, _)| *name == unit)?;
        if index < next_unit {
            return None;
        }
        next_unit = index + 1;
        sum = sum.checked_add(number.checked_mul(UNITS[index].1)?)?;
        remaining = remaining[unit_length..].trim_start_matches(' ');
    }
    (!text.is_empty()).then_some(sum)
}

/// Parses a percentage above 0 and returns it in hundredths of a percent.
pub(super) fn parse_share(text: &str) -> Option<u32> {
    let number = text.strip_suffix('%')?;
    let (whole, decimals) = number.split_once('.').unwrap_or((number, ""));
    if decimals.len() > 2 || !decimals.chars().all(|c| c.is_ascii_digit()) {
        return None;
    }
    let whole: u32 = whole.parse().ok().filter(|whole| *whole <= 100)?;
    let decimals: u32 = format!("{decimals:0<2}").parse().ok()?;
    Some(whole * 100 + decimals).filter(|share| *share > 0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_and_shares_are_parsed_as_in_nginx() {
        let times = [
            ("10", Some(10_000)),
            ("1m30s", Some(90_000)),
            ("250ms", Some(250)),
            ("1h 5m", Some(3_900_000)),
        ];
        let invalid_times = [
            ("", None),
            ("5x", None),
            ("10s1m", None),
            ("ms", None),
            ("1.5s", None),
            ("99999999999999999999", None),
        ];
        for (text, expected) in times.into_iter().chain(invalid_times) {
            assert_eq!(parse_milliseconds(text), expected, "{text}");
        }
        let shares = [
            ("50%", Some(5_000)),
            ("0.5%", Some(50)),
            ("12.34%", Some(1_234)),
            ("0%", None),
            ("1.234%", None),
            ("101%", None),
            ("5", None),
        ];
        for (text, expected) in shares {
            assert_eq!(parse_share(text), expected, "{text}");
        }
    }
}
