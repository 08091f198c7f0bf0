//! `stonefold completions` and `stonefold man`: texts that are generated from the definition of the command line.

use std::io::{self, Write};

use clap::CommandFactory;
use clap_complete::Shell;

use crate::args::Args;
use crate::failure::Failure;

/// Prints the completions for a shell.
pub(crate) fn completions(shell: Shell) -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_complete::generate(shell, &mut Args::command(), "stonefold", &mut text);
    Ok(io::stdout().write_all(&text)?)
}

/// Prints the manual page.
pub(crate) fn man() -> Result<(), Failure> {
    let mut text = Vec::new();
    clap_mangen::Man::new(Args::command()).render(&mut text)?;
    for command in Args::command().get_subcommands() {
        let page = clap_mangen::Man::new(command.clone());
        page.render_description_section(&mut text)?;
        page.render_options_section(&mut text)?;
        page.render_extra_section(&mut text)?;
    }
    Ok(io::stdout().write_all(&text)?)
}
