//! `cleatpulley routes`: what an nginx configuration means here, and whether it does what is expected.

use clap::Subcommand;
use cleatpulley::nginx::{load_routes, LocalFiles};
use cleatpulley::operator;
use cleatpulley_routes::diff::{describe_decision, diff_routes};
use cleatpulley_routes::expectations::{check_expectations, Coverage, ExpectationFile, Outcome};
use cleatpulley_routes::import::{known_directives, DirectiveSupport, Import};
use cleatpulley_routes::router::{RouteRequest, Router};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Status where something was refused, differs or does not hold.
const NOT_SO: u8 = 3;

/// What is done.
#[derive(Subcommand)]
pub enum Routes {
    /// Read upstream, server and location blocks and print the routing they mean; ends with 3 where anything is refused
    Import {
        /// The configuration
        file: PathBuf,
        /// Print the table as JSON, which is read wherever a configuration is
        #[arg(long)]
        json: bool,
    },
    /// Say where a request goes, which block takes it, and why the others do not
    Explain {
        /// The configuration, or a table as JSON
        file: PathBuf,
        /// The method
        method: String,
        /// The URL, such as http://match.example.org/claim-seat?x=1
        url: String,
        /// A header, as NAME: VALUE
        #[arg(short = 'H', long = "header", value_parser = header)]
        headers: Vec<(String, String)>,
        /// The address:port that the request came to, where several have its port
        #[arg(long)]
        listen: Option<String>,
        /// The caller's address
        #[arg(long, default_value = "192.0.2.1")]
        remote: String,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Say what goes elsewhere under another configuration, with examples; ends with 3 where anything does
    Diff {
        /// The configuration before
        old: PathBuf,
        /// The configuration now
        new: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Check expectations on routing without traffic; ends with 3 where one does not hold
    Check {
        /// The configuration
        file: PathBuf,
        /// The expectations, a Jsonnet file
        expectations: PathBuf,
        /// As JSON
        #[arg(long)]
        json: bool,
    },
    /// Print what becomes of each directive that is known
    Directives,
}

fn header(text: &str) -> Result<(String, String), String> {
    let parts = text
        .split_once(':')
        .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
    parts.ok_or_else(|| "not a name, a colon and a value".to_owned())
}

/// Runs it.
///
/// # Errors
/// What can't be read.
pub fn run(routes: &Routes) -> Result<ExitCode, String> {
    match routes {
        Routes::Import { file, json } => import(file, *json),
        Routes::Explain {
            file,
            method,
            url,
            headers,
            listen,
            remote,
            json,
        } => {
            let rest = url
                .strip_prefix("http://")
                .or_else(|| url.strip_prefix("https://"));
            let rest = rest.ok_or_else(|| format!("{url:?} does not begin with http://"))?;
            let (host, target) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
            let target = if target.is_empty() { "/" } else { target };
            let listen = listen.as_deref();
            explain(
                file,
                &RouteRequest {
                    listen_address: listen,
                    host,
                    method,
                    request_target: target,
                    headers,
                    caller_address: remote,
                },
                *json,
            )
        }
        Routes::Diff { old, new, json } => differ(old, new, *json),
        Routes::Check {
            file,
            expectations,
            json,
        } => expect(file, expectations, *json),
        Routes::Directives => {
            for (name, contexts, fate) in known_directives() {
                let (what, why) = match fate {
                    DirectiveSupport::Full => ("taken over", ""),
                    DirectiveSupport::Partial(why) => ("differs", *why),
                    DirectiveSupport::Ignored => ("passed over", ""),
                    DirectiveSupport::Unsupported(why) => ("refused", *why),
                };
                print_line!(
                    "{}",
                    format!("{name:32} {contexts:5} {what:12} {why}").trim_end()
                );
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}

fn import(file: &Path, as_json: bool) -> Result<ExitCode, String> {
    let show = |routes: &cleatpulley_routes::model::Routes| -> Result<ExitCode, String> {
        if as_json {
            print_line!(
                "{}",
                serde_json::to_string_pretty(routes).map_err(|e| e.to_string())?
            );
        } else {
            routes
                .to_lines()
                .iter()
                .for_each(|line| print_line!("{line}"));
        }
        Ok(ExitCode::SUCCESS)
    };
    if file.extension().is_some_and(|end| end == "json") {
        return show(&load_routes(file)?);
    }
    let name = file.to_str().ok_or("the file's name is no text")?;
    let import = Import::read(&LocalFiles, name);
    for finding in &import.diagnostics {
        eprintln!("{}", finding.render());
    }
    if import.omitted_diagnostics > 0 {
        eprintln!("{} more findings are not told", import.omitted_diagnostics);
    }
    if !import.is_complete() {
        eprintln!("{name}: not imported");
        return Ok(ExitCode::from(NOT_SO));
    }
    show(&import.routes)
}

fn explain(file: &Path, asked: &RouteRequest<'_>, as_json: bool) -> Result<ExitCode, String> {
    let table = Router::new(&load_routes(file)?)?;
    let (decision, said) = table.explain(asked)?;
    let comes_to = describe_decision(&Ok(decision));
    if as_json {
        print_line!("{}", json!({ "weighed": said, "comes_to": comes_to }));
    } else {
        said.iter().for_each(|line| print_line!("{line}"));
        print_line!("comes to: {comes_to}");
    }
    Ok(ExitCode::SUCCESS)
}

fn differ(old: &Path, new: &Path, as_json: bool) -> Result<ExitCode, String> {
    let difference = diff_routes(&load_routes(old)?, &load_routes(new)?)?;
    if as_json {
        print_line!(
            "{}",
            serde_json::to_string(&difference).map_err(|e| e.to_string())?
        );
    } else {
        for moved in &difference.rerouted {
            print_line!("- {}", moved.before);
            print_line!("+ {}", moved.after);
            print_line!(
                "    such as {} ({} of those tried)",
                moved.example,
                moved.count
            );
        }
        difference
            .pools
            .iter()
            .for_each(|line| print_line!("pool {line}"));
        print_line!("{} requests tried", difference.probe_count);
    }
    Ok(if difference.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NOT_SO)
    })
}

fn expect(file: &Path, expectations: &Path, as_json: bool) -> Result<ExitCode, String> {
    let routes = load_routes(file)?;
    let text = operator::evaluate(expectations).map_err(|e| e.to_string())?;
    let mut reader = serde_json::Deserializer::from_str(&text);
    let read: ExpectationFile = serde_path_to_error::deserialize(&mut reader).map_err(|e| {
        let what = e.inner().to_string();
        let what = what
            .split(" at line ")
            .next()
            .unwrap_or_default()
            .to_owned();
        format!("{}: {}: {what}", expectations.display(), e.path())
    })?;
    // Files that are compared with stand beside the expectations.
    let folder = expectations
        .parent()
        .map(Path::to_owned)
        .unwrap_or_default();
    let reports = check_expectations(&routes, &read, &|name| load_routes(&folder.join(name)))?;
    for report in &reports {
        if as_json {
            print_line!(
                "{}",
                serde_json::to_string(report).map_err(|e| e.to_string())?
            );
            continue;
        }
        let tried = report.requests_checked;
        match &report.outcome {
            Outcome::Holds(Coverage::Proven) => print_line!("holds    {}: proven", report.name),
            Outcome::Holds(Coverage::Sampled) => {
                print_line!(
                    "holds    {}: for {tried} requests that were tried",
                    report.name
                )
            }
            Outcome::Broken { example, count } => {
                print_line!("broken   {}: {example} ({count} found)", report.name)
            }
            Outcome::Vacuous(why) => print_line!("vacuous  {}: {why}", report.name),
        }
    }
    let all = reports
        .iter()
        .all(cleatpulley_routes::expectations::ExpectationReport::holds);
    Ok(if all {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(NOT_SO)
    })
}
