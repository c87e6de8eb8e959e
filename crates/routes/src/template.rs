//! Texts with variables.

/// A part of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TemplatePart {
    /// Text as it stands.
    Literal(String),
    /// A variable's value.
    Variable(String),
    /// What a group of the last regular expression matched.
    Capture(usize),
}

/// A text with variables in it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Template(pub Vec<TemplatePart>);

impl Template {
    /// Reads one.
    ///
    /// # Errors
    /// A sign without a name.
    pub fn parse(text: &str) -> Result<Self, String> {
        let (mut pieces, mut rest) = (Vec::new(), text);
        while let Some(at) = rest.find('$') {
            if at > 0 {
                pieces.push(TemplatePart::Literal(rest[..at].to_owned()));
            }
            rest = &rest[at + 1..];
            let (name, after) = match rest.strip_prefix('{') {
                Some(inner) => inner
                    .split_once('}')
                    .ok_or_else(|| format!("{text:?}: a brace is not closed"))?,
                None if rest.starts_with(|c: char| c.is_ascii_digit()) => rest.split_at(1),
                None => {
                    let end = rest
                        .find(|c: char| !c.is_ascii_alphanumeric() && c != '_')
                        .unwrap_or(rest.len());
                    rest.split_at(end)
                }
            };
            rest = after;
            if name.is_empty() || !name.chars().all(|c| c.is_ascii_alphanumeric() || c == '_') {
                return Err(format!(
                    "{text:?}: a variable's name is missing after the sign"
                ));
            }
            pieces.push(match name.parse() {
                Ok(group @ 0..=9) => TemplatePart::Capture(group),
                _ => TemplatePart::Variable(name.to_owned()),
            });
        }
        if !rest.is_empty() {
            pieces.push(TemplatePart::Literal(rest.to_owned()));
        }
        Ok(Self(pieces))
    }

    /// Its variables, groups left out.
    pub fn variables(&self) -> impl Iterator<Item = &str> {
        self.0.iter().filter_map(|piece| match piece {
            TemplatePart::Variable(name) => Some(name.as_str()),
            _ => None,
        })
    }

    /// The text, with values put in.
    pub fn expand(&self, mut value: impl FnMut(&TemplatePart, &mut String)) -> String {
        let mut out = String::new();
        for piece in &self.0 {
            match piece {
                TemplatePart::Literal(text) => out.push_str(text),
                other => value(other, &mut out),
            }
        }
        out
    }
}

/// Whether a variable is given with each request.
#[must_use]
pub fn is_request_variable(name: &str) -> bool {
    const GIVEN: [&str; 12] = [
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
    GIVEN.contains(&name)
        || ["arg_", "http_", "cookie_"]
            .iter()
            .any(|start| name.starts_with(start))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn variables_and_groups_are_found() {
        let parse = Template::parse("a$b/${c}d$1$12").unwrap();
        let variable = |name: &str| TemplatePart::Variable(name.to_owned());
        let text = |text: &str| TemplatePart::Literal(text.to_owned());
        let expected = [
            text("a"),
            variable("b"),
            text("/"),
            variable("c"),
            text("d"),
            TemplatePart::Capture(1),
            TemplatePart::Capture(1),
            text("2"),
        ];
        assert_eq!(parse.0, expected);
        assert!(
            Template::parse("a$").is_err()
                && Template::parse("${a").is_err()
                && Template::parse("$-").is_err()
        );
    }
}
