//! Texts that contain variables and captures, such as `/new/$1?tenant=$arg_t`.

/// A part of a [`Template`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TemplatePart {
    /// Literal text.
    Literal(String),
    /// A variable, by its name without the dollar sign.
    Variable(String),
    /// A capture group, by number, of the regular expression that matched last.
    Capture(usize),
}

/// A text that contains variables and captures.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Template(pub Vec<TemplatePart>);

impl Template {
    /// Parses a text.
    ///
    /// # Errors
    /// A dollar sign without a variable name, or a brace that is not closed.
    pub fn parse(text: &str) -> Result<Self, String> {
        let (mut parts, mut remaining) = (Vec::new(), text);
        while let Some(offset) = remaining.find('$') {
            if offset > 0 {
                parts.push(TemplatePart::Literal(remaining[..offset].to_owned()));
            }
            remaining = &remaining[offset + 1..];
            let (name, tail) = match remaining.strip_prefix('{') {
                Some(inner) => inner
                    .split_once('}')
                    .ok_or_else(|| format!("{text:?}: a brace is not closed"))?,
                None if remaining.starts_with(|c: char| c.is_ascii_digit()) => {
                    remaining.split_at(1)
                }
                None => {
                    let end = remaining
                        .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
                        .unwrap_or(remaining.len());
                    remaining.split_at(end)
                }
            };
            remaining = tail;
            if name.is_empty() || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_') {
                return Err(format!(
                    "{text:?}: a variable's name is missing after the sign"
                ));
            }
            parts.push(match name.parse() {
                Ok(group @ 0..=9) => TemplatePart::Capture(group),
                _ => TemplatePart::Variable(name.to_owned()),
            });
        }
        if !remaining.is_empty() {
            parts.push(TemplatePart::Literal(remaining.to_owned()));
        }
        Ok(Self(parts))
    }

    /// Iterates over the names of the variables, without captures.
    pub fn variables(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter_map(|part| match part {
            TemplatePart::Variable(name) => Some(name.as_str()),
            _ => None,
        })
    }

    /// Expands the template; `expand_part` appends the value of a variable or capture.
    pub fn expand(&self, mut expand_part: impl FnMut(&TemplatePart, &mut String)) -> String {
        let mut out = String::new();
        for part in &self.0 {
            match part {
                TemplatePart::Literal(text) => out.push_str(text),
                other => expand_part(other, &mut out),
            }
        }
        out
    }
}

/// Whether a variable has its value from the request itself, as nginx's built-in ones.
#[must_use]
pub fn is_request_variable(name: &str) -> bool {
    const REQUEST_VARIABLES: [&str; 12] = [
        "uri",
        "document_uri",
        "request_uri",
        "args",
        "query_string",
        "is_args",
        "host",
        "request_method",
        "remote_addr",
        "binary_remote_addr",
        "scheme",
        "server_port",
    ];
    REQUEST_VARIABLES.contains(&name)
        || ["arg_", "http_", "cookie_"]
            .iter()
            .any(|prefix| name.starts_with(prefix))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parse_splits_variables_captures_and_literals() {
        let template = Template::parse("a$b/${c}d$1$12").unwrap();
        let variable = |name: &str| TemplatePart::Variable(name.to_owned());
        let literal = |text: &str| TemplatePart::Literal(text.to_owned());
        let expected = [
            literal("a"),
            variable("b"),
            literal("/"),
            variable("c"),
            literal("d"),
            TemplatePart::Capture(1),
            TemplatePart::Capture(1),
            literal("2"),
        ];
        assert_eq!(template.0, expected);
        assert!(
            Template::parse("a$").is_err()
                && Template::parse("${a").is_err()
                && Template::parse("$-").is_err()
        );
    }
}
