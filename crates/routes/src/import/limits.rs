//! Zones, and limits of rates and of open requests.

use super::Reader;
use crate::model::Limit;
use crate::syntax::Directive;

impl Reader {
    pub(super) fn zone(&mut self, one: &Directive) {
        let rate = one.name.text == "limit_req_zone";
        let Some(words) = self.args(one, 2, if rate { 4 } else { 2 }) else {
            return;
        };
        self.template(&words[0]);
        let (mut zone, mut per_second) = (None, 0);
        for word in &words[1..] {
            if let Some(rest) = word.text.strip_prefix("zone=") {
                let name = rest.split(':').next().unwrap_or_default();
                if name.is_empty() || !rest.contains(':') {
                    self.error(word, format!("{:?} is not zone=NAME:SIZE", word.text));
                }
                zone = Some(name.to_owned());
            } else if let Some(text) = word.text.strip_prefix("rate=").filter(|_| rate) {
                // In thousandths of a request a second.
                let second = text
                    .strip_suffix("r/s")
                    .and_then(|n| n.parse::<u64>().ok())
                    .map(|n| n * 1_000);
                let minute = text
                    .strip_suffix("r/m")
                    .and_then(|n| n.parse::<u64>().ok())
                    .map(|n| n * 1_000 / 60);
                match second.or(minute) {
                    Some(rate @ 1..=1_000_000_000) => per_second = rate,
                    _ => self.error(
                        word,
                        format!("{text:?} is not a rate such as 10r/s or 30r/m"),
                    ),
                }
            } else {
                self.refuse(word, format!("{:?} is not understood", word.text));
            }
        }
        let Some(zone) = zone else {
            return self.error(&one.name, "it names no zone");
        };
        if rate && per_second == 0 {
            return self.error(&one.name, format!("zone {zone:?} has no rate"));
        }
        if self
            .zones
            .insert(zone.clone(), (words[0].text.clone(), per_second))
            .is_some()
        {
            self.error(&one.name, format!("zone {zone:?} is there already"));
        }
    }

    pub(super) fn limit_rate(&mut self, one: &Directive) -> Option<Limit> {
        let (mut zone, mut burst, mut waits) = (None, 0, true);
        for word in self.args(one, 1, 4)? {
            match word.text.split_once('=') {
                Some(("zone", name)) => zone = Some((name.to_owned(), word)),
                Some(("burst", count)) => match count.parse() {
                    Ok(count) => burst = count,
                    Err(_) => self.error(word, format!("{count:?} is not a whole number")),
                },
                None if word.text == "nodelay" => waits = false,
                Some(("delay", _)) => {}
                _ => self.error(word, format!("{:?} is not understood", word.text)),
            }
        }
        if waits && burst > 0 {
            let what = "limit_req: requests beyond the rate and within the burst are let through at once, as with nodelay";
            self.differs(&one.name, what);
        }
        let Some((zone, word)) = zone else {
            self.error(&one.name, "it names no zone");
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

    pub(super) fn limit_open(&mut self, one: &Directive) -> Option<Limit> {
        let [name, count] = self.args(one, 2, 2)? else {
            return None;
        };
        let burst = u64::from(self.number(count)?);
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
