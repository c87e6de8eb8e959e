//! Imports zones, rate limits and limits of concurrent requests.

use super::Importer;
use crate::model::Limit;
use crate::syntax::Directive;

impl Importer {
    pub(super) fn import_zone(&mut self, directive: &Directive) {
        let is_rate_zone = directive.name.text == "limit_req_zone";
        let Some(words) = self.args(directive, 2, if is_rate_zone { 4 } else { 2 }) else {
            return;
        };
        self.check_template(&words[0]);
        let (mut zone, mut rate_per_1000_s) = (None, 0);
        for word in &words[1..] {
            if let Some(value) = word.text.strip_prefix("zone=") {
                let name = value.split(':').next().unwrap_or_default();
                if name.is_empty() || !value.contains(':') {
                    self.error(word, format!("{:?} is not zone=NAME:SIZE", word.text));
                }
                zone = Some(name.to_owned());
            } else if let Some(text) = word.text.strip_prefix("rate=").filter(|_| is_rate_zone) {
                // In thousandths of a request per second.
                let per_second = text
                    .strip_suffix("r/s")
                    .and_then(|n| n.parse::<u64>().ok())
                    .map(|n| n * 1_000);
                let per_minute = text
                    .strip_suffix("r/m")
                    .and_then(|n| n.parse::<u64>().ok())
                    .map(|n| n * 1_000 / 60);
                match per_second.or(per_minute) {
                    Some(rate @ 1..=1_000_000_000) => rate_per_1000_s = rate,
                    _ => self.error(
                        word,
                        format!("{text:?} is not a rate such as 10r/s or 30r/m"),
                    ),
                }
            } else {
                self.reject(word, format!("{:?} is not understood", word.text));
            }
        }
        let Some(zone) = zone else {
            return self.error(&directive.name, "the zone is missing");
        };
        if is_rate_zone && rate_per_1000_s == 0 {
            return self.error(&directive.name, format!("zone {zone:?} has no rate"));
        }
        if self
            .zones
            .insert(zone.clone(), (words[0].text.clone(), rate_per_1000_s))
            .is_some()
        {
            self.error(&directive.name, format!("zone {zone:?} is there already"));
        }
    }

    pub(super) fn parse_rate_limit(&mut self, directive: &Directive) -> Option<Limit> {
        let (mut zone, mut burst, mut delays) = (None, 0, true);
        for word in self.args(directive, 1, 4)? {
            match word.text.split_once('=') {
                Some(("zone", name)) => zone = Some((name.to_owned(), word)),
                Some(("burst", count)) => match count.parse() {
                    Ok(count) => burst = count,
                    Err(_) => self.error(word, format!("{count:?} is not a whole number")),
                },
                None if word.text == "nodelay" => delays = false,
                Some(("delay", _)) => {}
                _ => self.error(word, format!("{:?} is not understood", word.text)),
            }
        }
        if delays && burst > 0 {
            let message = "limit_req: requests beyond the rate and within the burst are let through at once, as with nodelay";
            self.warn(&directive.name, message);
        }
        let Some((zone, word)) = zone else {
            self.error(&directive.name, "the zone is missing");
            return None;
        };
        match self.zones.get(&zone).cloned() {
            Some((key, rate)) if rate > 0 => Some(Limit {
                key,
                zone,
                rate,
                burst,
                status: 503,
            }),
            _ => {
                self.error(word, format!("no limit_req_zone is called {zone:?}"));
                None
            }
        }
    }

    pub(super) fn parse_concurrency_limit(&mut self, directive: &Directive) -> Option<Limit> {
        let [name, count] = self.args(directive, 2, 2)? else {
            return None;
        };
        let burst = u64::from(self.parse_number(count)?);
        let zone = name.text.clone();
        match self.zones.get(&zone).cloned() {
            Some((key, 0)) if burst > 0 => Some(Limit {
                key,
                zone,
                rate: 0,
                burst,
                status: 503,
            }),
            Some((_, 0)) => {
                self.error(count, "a limit of 0 lets nothing through");
                None
            }
            _ => {
                self.error(name, format!("no limit_conn_zone is called {zone:?}"));
                None
            }
        }
    }
}
