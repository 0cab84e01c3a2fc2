//! `lapisdrum check`: validates a settings or catalogue file and reports all errors at once. For a
//! catalogue it also reports what can't take effect, and how the file differs from another version.

use super::{
    Exit, Failure,
    findings::{self, Differences, KnownSite, Warning},
    status,
};
use crate::{
    api::client::DaemonClient,
    core::catalogue::RawEntry,
    settings::{Settings, entries},
};
use std::{fmt, fs, path::Path};

data! {
    /// Kind of a valid file.
    #[serde(rename_all = "kebab-case")]
    pub enum Content {
        /// Settings of a daemon.
        Settings,
        /// Entries of the catalogue.
        Catalogue {
            /// Number of entries in the file.
            entries: usize,
            /// Keys that can't take effect.
            warnings: Vec<Warning>,
            /// How the file differs from the version that it is compared with, if any.
            differences: Option<Differences>,
        },
    }

    /// Result for a valid file.
    pub struct CheckReport {
        /// Path as given on the command line.
        pub file: String,
        /// Kind of the file.
        pub content: Content,
    }
}

/// What a catalogue file is compared with.
#[derive(Clone, Copy)]
pub enum Against<'a> {
    /// Nothing.
    Nothing,
    /// The catalogue that is in force, and the site that it is in force on.
    InForce(&'a DaemonClient),
    /// Another catalogue file.
    File(&'a Path),
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.content {
            Content::Settings => write!(f, "{}: settings without faults", self.file),
            Content::Catalogue {
                entries,
                warnings,
                differences,
            } => {
                let file = &self.file;
                write!(f, "{file}: a catalogue of {entries} entries without faults")?;
                let mut lines = warnings.iter();
                lines.try_for_each(|warning| write!(f, "\n{warning}"))?;
                let mut lines = differences.iter();
                lines.try_for_each(|differences| write!(f, "\n{differences}"))
            }
        }
    }
}

/// Validates a file. A TOML file with an `entry` key is read as a catalogue, any other as settings,
/// which are compared with nothing.
pub async fn check(file: &Path, against: Against<'_>) -> Result<CheckReport, Failure> {
    let name = file.display().to_string();
    let text = read(file)?;
    let is_catalogue = text
        .parse::<toml::Table>()
        .is_ok_and(|t| t.contains_key("entry"));
    let content = if is_catalogue {
        let entries = entries::parse(&name, &text).map_err(invalid_input)?;
        check_catalogue(&entries, against).await?
    } else if !matches!(against, Against::Nothing) {
        let what = format!("{name}: only a catalogue is compared with another version");
        return Err(invalid_input(what));
    } else {
        Settings::parse(&name, &text).map_err(invalid_input)?;
        Content::Settings
    };
    Ok(CheckReport {
        file: name,
        content,
    })
}

async fn check_catalogue(entries: &[RawEntry], against: Against<'_>) -> Result<Content, Failure> {
    let (site, differences) = match against {
        Against::Nothing => (None, None),
        Against::File(other) => {
            let theirs = load_catalogue(other)?;
            let name = other.display().to_string();
            (None, Some(Differences::new(&name, entries, &theirs)))
        }
        Against::InForce(client) => {
            let theirs = client.catalogue().await?.entries.into_iter();
            let theirs: Vec<RawEntry> = theirs.map(|body| body.entry).collect();
            let site = known_site(client).await?;
            let differences = Differences::new("in-force", entries, &theirs);
            (Some(site), Some(differences))
        }
    };
    Ok(Content::Catalogue {
        entries: entries.len(),
        warnings: findings::warnings(entries, site.as_ref()),
        differences,
    })
}

/// The site of a daemon. Without the answers of all daemons some workers may be missing, so that
/// none are known.
async fn known_site(client: &DaemonClient) -> Result<KnownSite, Failure> {
    let report = status::gather(client).await?;
    let are_all_known = report.unanswered().next().is_none();
    let workers = report.workers.iter().filter(|_| are_all_known);
    Ok(KnownSite {
        daemons: report.daemons.len(),
        shards: report.shards.len(),
        workers: workers.map(|worker| worker.capacity).collect(),
    })
}

/// Reads and validates a catalogue file.
pub fn load_catalogue(file: &Path) -> Result<Vec<RawEntry>, Failure> {
    let text = read(file)?;
    entries::parse(&file.display().to_string(), &text).map_err(invalid_input)
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|e| invalid_input(format!("{}: {e}", file.display())))
}

fn invalid_input(message: impl fmt::Display) -> Failure {
    Failure::new(Exit::WrongInput, message)
}
