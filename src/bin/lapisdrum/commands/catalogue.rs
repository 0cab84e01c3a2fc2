//! `lapisdrum catalogue`.

use crate::cli::DaemonArgs;
use clap::Subcommand;
use lapisdrum::ops::{self, Failure, catalogue::Applied};
use std::path::PathBuf;

/// What to do with the catalogue.
#[derive(Debug, Subcommand)]
pub(crate) enum CatalogueCommand {
    /// Bring the catalogue in line with a file.
    Apply {
        /// A TOML file with `[[entry]]` tables.
        file: PathBuf,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show every entry.
    List {
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show one entry.
    Show {
        /// The entry's name.
        entry: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Take an entry out of service; what was accepted is finished.
    Retire {
        /// The entry's name.
        entry: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
}

/// Runs one of them.
pub(crate) async fn run(command: CatalogueCommand) -> Result<(), Failure> {
    match command {
        CatalogueCommand::Apply { file, daemon } => {
            for applied in ops::catalogue::apply(&daemon.client(), &file).await? {
                match applied {
                    Applied::Unchanged(entry) => println!("{entry}: unchanged"),
                    Applied::Changed(entry, revision) => println!("{entry}: revision {revision}"),
                }
            }
        }
        CatalogueCommand::List { daemon } => {
            let catalogue = ops::catalogue::list(&daemon.client()).await?;
            println!("revision {}", catalogue.revision);
            for row in catalogue.entries {
                let entry = row.entry;
                println!(
                    "{} {} {} at {}",
                    entry.name, entry.class, entry.owner, row.revision
                );
            }
        }
        CatalogueCommand::Show { entry, daemon } => {
            let row = ops::catalogue::show(&daemon.client(), &entry).await?;
            println!("{row:#?}");
        }
        CatalogueCommand::Retire { entry, daemon } => {
            let revision = ops::catalogue::retire(&daemon.client(), &entry).await?;
            println!("{entry}: retired at revision {revision}");
        }
    }
    Ok(())
}
