//! Arguments of `lapisdrum catalogue`.

use crate::cli::{DaemonArgs, WaitArgs};
use clap::Subcommand;
use lapisdrum::ops::{self, Failure, catalogue::ApplyOptions, output::Output};
use std::path::PathBuf;

const APPLY_EXAMPLES: &str = "\
Examples:
  lapisdrum catalogue apply --dry-run catalogue.toml
  lapisdrum catalogue apply --wait catalogue.toml

Entries that differ from the file are added or changed; entries that the file does not name stay as
they are. With --wait the command ends once every daemon that answers has the change. A lost answer
is repeated under the same change id, so a change is made at most once. Of two operators who change
the same entry at once, one gets a conflict and changes nothing.";

const RETIRE_EXAMPLES: &str = "\
Example:
  lapisdrum catalogue retire catalogue-render --wait

The entry takes no new work; what was accepted is finished as its class demands. Applying a file in
which it is not retired brings it back.";

/// What to do with the catalogue.
#[derive(Debug, Subcommand)]
pub(crate) enum CatalogueCommand {
    /// Bring the catalogue in line with a file.
    #[command(after_help = APPLY_EXAMPLES)]
    Apply {
        /// A TOML file with `[[entry]]` tables.
        file: PathBuf,
        /// Show the differences and change nothing.
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        wait: WaitArgs,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show every entry.
    #[command(after_help = "Example:\n  lapisdrum catalogue list --daemon 127.0.0.1:7000")]
    List {
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show one entry.
    #[command(after_help = "Example:\n  lapisdrum catalogue show route-map")]
    Show {
        /// The entry's name.
        entry: String,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Take an entry out of service; what was accepted is finished.
    #[command(after_help = RETIRE_EXAMPLES)]
    Retire {
        /// The entry's name.
        entry: String,
        #[command(flatten)]
        wait: WaitArgs,
        #[command(flatten)]
        daemon: DaemonArgs,
    },
    /// Show accepted changes with their change ids, the latest first.
    #[command(after_help = "Example:\n  lapisdrum catalogue history")]
    History {
        #[command(flatten)]
        daemon: DaemonArgs,
    },
}

/// Runs a `catalogue` subcommand and prints its result.
pub(crate) async fn run(command: CatalogueCommand, output: Output) -> Result<(), Failure> {
    match command {
        CatalogueCommand::Apply {
            file,
            dry_run,
            wait,
            daemon,
        } => {
            let options = ApplyOptions {
                dry_run,
                wait: wait.limit(),
            };
            let applied = ops::catalogue::apply(&daemon.client(), &file, options).await?;
            super::print_with_failure(output, applied)
        }
        CatalogueCommand::List { daemon } => {
            super::print(output, &ops::catalogue::list(&daemon.client()).await?)
        }
        CatalogueCommand::Show { entry, daemon } => {
            let shown = ops::catalogue::show(&daemon.client(), &entry).await?;
            super::print(output, &shown)
        }
        CatalogueCommand::Retire {
            entry,
            wait,
            daemon,
        } => {
            let retired = ops::catalogue::retire(&daemon.client(), &entry, wait.limit()).await?;
            super::print_with_failure(output, retired)
        }
        CatalogueCommand::History { daemon } => {
            super::print(output, &ops::catalogue::history(&daemon.client()).await?)
        }
    }
}
