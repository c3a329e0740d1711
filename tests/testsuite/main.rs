//! Runs over real processes and sockets, and checks of the sources.

mod cluster;
mod command_lines;
mod failures;
mod http;
mod operators;
mod sources;
mod story;
mod whole_path;
