//! Values as nginx writes them.

/// nginx's times: a number of seconds, or numbers with units from the largest to the smallest.
pub(super) fn milliseconds(text: &str) -> Option<u64> {
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
    let (mut rest, mut sum, mut from) = (text, 0_u64, 0);
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit())?;
        let number: u64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let length = if rest.starts_with("ms") { 2 } else { 1 };
        let unit = rest.get(..length)?;
        let at = UNITS.iter().position(|(name, _)| *name == unit)?;
        if at < from {
            return None;
        }
        from = at + 1;
        sum = sum.checked_add(number.checked_mul(UNITS[at].1)?)?;
        rest = rest[length..].trim_start_matches(' ');
    }
    (!text.is_empty()).then_some(sum)
}

/// A share in hundredths of a percent, above 0.
pub(super) fn share(text: &str) -> Option<u32> {
    let number = text.strip_suffix('%')?;
    let (whole, rest) = number.split_once('.').unwrap_or((number, ""));
    if rest.len() > 2 || !rest.chars().all(|c| c.is_ascii_digit()) {
        return None;
    }
    let whole: u32 = whole.parse().ok().filter(|whole| *whole <= 100)?;
    let rest: u32 = format!("{rest:0<2}").parse().ok()?;
    Some(whole * 100 + rest).filter(|share| *share > 0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_and_shares_are_read_as_nginx_reads_them() {
        let times = [
            ("10", Some(10_000)),
            ("1m30s", Some(90_000)),
            ("250ms", Some(250)),
            ("1h 5m", Some(3_900_000)),
        ];
        let wrong = [
            ("", None),
            ("5x", None),
            ("10s1m", None),
            ("ms", None),
            ("1.5s", None),
            ("99999999999999999999", None),
        ];
        for (text, expected) in times.into_iter().chain(wrong) {
            assert_eq!(milliseconds(text), expected, "{text}");
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
            assert_eq!(share(text), expected, "{text}");
        }
    }
}
