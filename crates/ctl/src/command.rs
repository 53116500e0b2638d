//! Parses the command line and runs the commands.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use almondbank_wire::{document, operator, row};
use getopts::Matches;
use serde::Serialize;

use crate::client::Client;
use crate::failure::Failure;
use crate::{path, render};

const KEY_ENV: &str = "ALMONDBANK_KEY";

/// A command with its argument and options.
pub struct Command {
    name: String,
    argument: Option<String>,
    environment: Option<String>,
    base: Option<u64>,
    revision: Option<u64>,
    from: Option<String>,
    undo: bool,
    json: bool,
    entries: Vec<SocketAddr>,
    key: String,
}

impl TryFrom<&Matches> for Command {
    type Error = Failure;

    fn try_from(matches: &Matches) -> Result<Self, Failure> {
        let mut free = matches.free.iter();
        let name = free
            .next()
            .ok_or_else(|| Failure::Usage("no command given".to_owned()))?;
        let argument = free.next().cloned();
        if let Some(extra) = free.next() {
            return Err(Failure::Usage(format!("unexpected argument {extra}")));
        }
        let entries = matches
            .opt_strs("entry")
            .iter()
            .map(|text| text.parse())
            .collect::<Result<_, _>>()
            .map_err(|_| Failure::Usage("--entry must be an IP address and port".to_owned()))?;
        Ok(Self {
            name: name.clone(),
            argument,
            environment: matches.opt_str("environment"),
            base: parse_number(matches, "base")?,
            revision: parse_number(matches, "revision")?,
            from: matches.opt_str("from"),
            undo: matches.opt_present("undo"),
            json: matches.opt_present("json"),
            entries,
            key: read_key(matches)?,
        })
    }
}

impl Command {
    /// Runs the command and prints its result.
    pub async fn run(&self) -> Result<(), Failure> {
        match self.name.as_str() {
            "check" => self.check(),
            "apply" => self.apply().await,
            "get" => self.get().await,
            "diff" => self.diff().await,
            "promote" => self.promote().await,
            "history" => self.history().await,
            "status" => self.status().await,
            "where" => self.replicas().await,
            "drain" => self.drain().await,
            "leave" => self.leave().await,
            other => Err(Failure::Usage(format!("unknown command {other}"))),
        }
    }

    fn check(&self) -> Result<(), Failure> {
        let (path, text) = self.read_document()?;
        let parsed =
            document::parse(&text).map_err(|error| Failure::Document(path.clone(), error))?;
        println!(
            "{path}: ok, environment {}, {} models, {} adapters",
            parsed.environment,
            parsed.models.len(),
            parsed.adapters.len(),
        );
        Ok(())
    }

    async fn apply(&self) -> Result<(), Failure> {
        let (path, text) = self.read_document()?;
        let parsed =
            document::parse(&text).map_err(|error| Failure::Document(path.clone(), error))?;
        let base = self
            .base
            .ok_or_else(|| Failure::Usage("apply requires --base".to_owned()))?;
        let apply = operator::Apply {
            base,
            document: text,
        };
        let path = path::of_environment(&parsed.environment, "document");
        let accepted: operator::Accepted = self.client().post(&path, &apply).await?;
        self.print(&accepted, || {
            format!("accepted as revision {}", accepted.revision)
        });
        Ok(())
    }

    async fn get(&self) -> Result<(), Failure> {
        let edition = self
            .fetch_document(self.environment()?, self.revision)
            .await?;
        self.print(&edition, || edition.document.trim_end().to_owned());
        Ok(())
    }

    async fn diff(&self) -> Result<(), Failure> {
        let (path, text) = self.read_document()?;
        let invalid = |error| Failure::Document(path.clone(), error);
        let parsed = document::parse(&text).map_err(invalid)?;
        let new = document::fields(&text).map_err(invalid)?;
        let edition = self
            .fetch_document(&parsed.environment, self.revision)
            .await?;
        let old = if edition.revision == 0 {
            std::collections::BTreeMap::default()
        } else {
            document::fields(&edition.document).map_err(invalid)?
        };
        let paths: BTreeSet<_> = old.keys().chain(new.keys()).collect();
        let changes: Vec<_> = paths
            .into_iter()
            .filter(|path| old.get(*path) != new.get(*path))
            .map(|path| render::Change {
                path: path.clone(),
                old: old.get(path).cloned(),
                new: new.get(path).cloned(),
            })
            .collect();
        self.print(&changes, || render::changes(&changes));
        if changes.is_empty() {
            Ok(())
        } else {
            Err(Failure::Different)
        }
    }

    async fn promote(&self) -> Result<(), Failure> {
        let from = self
            .from
            .clone()
            .ok_or_else(|| Failure::Usage("promote requires --from".to_owned()))?;
        let environment = self.environment()?;
        let (Some(revision), Some(base)) = (self.revision, self.base) else {
            let reason = "promote requires --revision and --base";
            return Err(Failure::Usage(reason.to_owned()));
        };
        let promote = operator::Promote {
            from,
            revision,
            base,
        };
        let path = path::of_environment(environment, "promote");
        let accepted: operator::Accepted = self.client().post(&path, &promote).await?;
        self.print(&accepted, || {
            format!("accepted as revision {}", accepted.revision)
        });
        Ok(())
    }

    async fn history(&self) -> Result<(), Failure> {
        let path = path::of_environment(self.environment()?, "history");
        let entries: Vec<row::Audit> = self.client().get(&path).await?;
        self.print(&entries, || render::history(&entries));
        Ok(())
    }

    async fn status(&self) -> Result<(), Failure> {
        let status: operator::Status = self.client().get("/status").await?;
        self.print(&status, || render::status(&status));
        Ok(())
    }

    async fn replicas(&self) -> Result<(), Failure> {
        let mut replicas: Vec<operator::Place> = self.client().get("/where").await?;
        if let Some(model) = &self.argument {
            replicas.retain(|replica| replica.model == *model || replica.adapters.contains(model));
        }
        self.print(&replicas, || render::replicas(&replicas));
        Ok(())
    }

    async fn drain(&self) -> Result<(), Failure> {
        let runner = self
            .argument
            .clone()
            .ok_or_else(|| Failure::Usage("drain requires a runner".to_owned()))?;
        let drain = operator::Drain {
            runner,
            draining: !self.undo,
        };
        let path = path::of_environment(self.environment()?, "drain");
        let done: operator::Drain = self.client().post(&path, &drain).await?;
        self.print(&done, || {
            let state = if done.draining {
                "gets no new work"
            } else {
                "takes work"
            };
            format!("{} {state}", done.runner)
        });
        Ok(())
    }

    async fn leave(&self) -> Result<(), Failure> {
        let status: operator::Status = self.client().post("/leave", &()).await?;
        self.print(&status, || format!("{} leaves", status.instance));
        Ok(())
    }

    async fn fetch_document(
        &self,
        environment: &str,
        revision: Option<u64>,
    ) -> Result<operator::Edition, Failure> {
        let query = revision.map_or_else(String::new, |n| format!("?revision={n}"));
        let path = path::of_environment(environment, &format!("document{query}"));
        self.client().get(&path).await
    }

    fn print(&self, value: &impl Serialize, text: impl Fn() -> String) {
        if self.json {
            println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            );
        } else {
            println!("{}", text());
        }
    }

    fn client(&self) -> Client {
        Client::new(self.entries.clone(), self.key.clone())
    }

    fn environment(&self) -> Result<&str, Failure> {
        let missing = || Failure::Usage(format!("{} requires --environment", self.name));
        self.environment.as_deref().ok_or_else(missing)
    }

    fn read_document(&self) -> Result<(String, String), Failure> {
        let path = self
            .argument
            .clone()
            .ok_or_else(|| Failure::Usage(format!("{} requires a file", self.name)))?;
        let text =
            std::fs::read_to_string(&path).map_err(|error| Failure::Read(path.clone(), error))?;
        Ok((path, text))
    }
}

fn read_key(matches: &Matches) -> Result<String, Failure> {
    let Some(path) = matches.opt_str("key-file") else {
        return Ok(std::env::var(KEY_ENV).unwrap_or_default());
    };
    let text =
        std::fs::read_to_string(&path).map_err(|error| Failure::Read(path.clone(), error))?;
    Ok(text.trim().to_owned())
}

fn parse_number(matches: &Matches, name: &str) -> Result<Option<u64>, Failure> {
    matches
        .opt_str(name)
        .map(|text| {
            text.parse()
                .map_err(|_| Failure::Usage(format!("--{name} must be a non-negative integer")))
        })
        .transpose()
}
